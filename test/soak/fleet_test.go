// Package soak runs a mesh of daemon processes, injects overlapping random faults from
// outside the processes, and checks the guarantees to callers against what callers and
// backend servers recorded.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/test/links"
	"comfreycart.dev/comfreycart/test/loopback"
	"comfreycart.dev/comfreycart/test/standin/instance"
	"comfreycart.dev/comfreycart/test/standin/platform"
)

const (
	domainCount       = 3
	readyTimeout      = 30 * time.Second
	heartbeatInterval = 300 * time.Millisecond
	// signalHandlingDelay bounds the time from the start of a process until it handles signals.
	signalHandlingDelay = time.Second

	portCaller = 7001 + iota
	portReady
	portControl
	portBackend
	portPeer
	portMetrics
	portStore
)

// storeName identifies the store in links.Links.
const storeName = "store"

// daemonPath is the path of the program under test, which TestMain builds once.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "comfreycartd")
	out, err := exec.Command("go", "build", "-o", daemonPath, "../../cmd/comfreycartd").CombinedOutput()
	if err != nil {
		panic("building comfreycartd: " + err.Error() + "\n" + string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is one VM: a daemon process, the relays in front of it and its backend server.
type node struct {
	f                   *fleet
	index               int
	name, service       string
	configFile, logFile string

	mu               sync.Mutex
	cmd              *exec.Cmd
	startedAt        time.Time
	exited           chan struct{}
	instance         *instance.Instance
	stopAnnouncing   context.CancelFunc
	instancesStarted int
	// stoppedInstances holds the earlier instances, whose recorded requests still count.
	stoppedInstances []*instance.Instance
}

// fleet is the mesh of one seed: the nodes, the store and the links between them.
type fleet struct {
	t       *testing.T
	dir     string
	network *loopback.Network
	links   *links.Links
	store   *platform.Server
	nodes   []*node
}

func newFleet(t *testing.T, size int) *fleet {
	network, err := loopback.Claim()
	require.NoError(t, err)
	t.Cleanup(network.Release)
	f := &fleet{t: t, dir: logDir(t), network: network, links: links.New(), store: platform.New()}
	server := &http.Server{Addr: network.Address(2, portStore), Handler: f.store.Handler()}
	go func() { _ = server.ListenAndServe() }()
	t.Cleanup(func() { _ = server.Close() })
	t.Cleanup(f.links.Close)
	for i := range size {
		n := &node{f: f, index: i, name: fmt.Sprintf("n%d", i+1), service: []string{"front", "deep"}[i/domainCount%2]}
		f.nodes = append(f.nodes, n)
		n.prepare()
		n.start()
		n.startInstance(fmt.Sprintf("i-%s-0", n.name))
		t.Cleanup(n.kill)
	}
	return f
}

// logDir returns the folder for the nodes' configuration files and logs. SOAK_LOGS names a
// parent folder that is kept after the test; by default a temporary folder is used.
func logDir(t *testing.T) string {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return t.TempDir()
	}
	dir = filepath.Join(dir, filepath.Base(t.Name()))
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

func (n *node) address(port int) string { return n.f.network.Address(10+2*n.index, port) }

// relayAddress returns the address of the relay in front of a port. The relay at portPeer
// leads to this node, and the one at portStore from this node to the store.
func (n *node) relayAddress(port int) string { return n.f.network.Address(11+2*n.index, port) }

// prepare opens the node's relays and writes its configuration file.
func (n *node) prepare() {
	t := n.f.t
	n.f.links.SetName(n.f.network.IP(10+2*n.index), n.name)
	require.NoError(t, n.f.links.OpenRelay(n.relayAddress(portPeer), n.address(portPeer), "", n.name))
	require.NoError(t, n.f.links.OpenRelay(n.relayAddress(portStore), n.f.network.Address(2, portStore), n.name, storeName))
	cfg := &config.Node{
		ID: n.name, Deployment: "soak", Domain: fmt.Sprintf("d%d", n.index%domainCount+1),
		Listen: config.Listen{
			Caller: n.address(portCaller), Backend: n.address(portControl),
			Peer: n.address(portPeer), Metrics: n.address(portMetrics),
		},
		AdvertisePeer: n.relayAddress(portPeer),
		Platform:      config.Platform{URL: "http://" + n.relayAddress(portStore), TimeoutMs: 700},
		Mesh: &config.Mesh{
			Service: n.service, Backend: n.address(portBackend), Ready: n.address(portReady),
			Domains: []string{"d1", "d2", "d3"}, HeartbeatMs: heartbeatInterval.Milliseconds(),
			KeyStalenessMs: revokeBound.Milliseconds(), StopSeconds: 6, RetryRatio: 0.2, RetryReserve: 50,
		},
	}
	require.NoError(t, cfg.Validate())
	data, err := json.Marshal(cfg)
	require.NoError(t, err)
	n.configFile, n.logFile = filepath.Join(n.f.dir, n.name+".json"), filepath.Join(n.f.dir, n.name+".log")
	require.NoError(t, os.WriteFile(n.configFile, data, 0o600))
}

func (n *node) start() {
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(n.f.t, err)
	n.startWithLog(log)
}

// startWithLog starts the process with its output going to log, which is closed once it has exited.
func (n *node) startWithLog(log *os.File) {
	cmd := exec.Command(daemonPath, "--config", n.configFile)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(n.f.t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.startedAt, n.exited = cmd, time.Now(), exited
}

// signal sends a signal to the node's process and returns a channel that is closed when
// the process has exited.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
	return n.exited
}

// reload sends SIGHUP, unless the process may not have come to handling signals yet.
func (n *node) reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.startedAt) > signalHandlingDelay {
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill kills the process and stops its backend server. A frozen process is resumed first.
func (n *node) kill() {
	n.signal(syscall.SIGCONT)
	<-n.signal(syscall.SIGKILL)
	n.stopInstance()
}

// startInstance starts a backend server next to the node and announces it until it is
// stopped. The ID may be that of an earlier instance.
func (n *node) startInstance(id string) {
	var started *instance.Instance
	require.Eventually(n.f.t, func() (ok bool) {
		var err error
		started, err = instance.Start(id, n.service, n.address(portBackend), n.address(portControl))
		return err == nil
	}, readyTimeout, 10*time.Millisecond)
	announceCtx, stop := context.WithCancel(context.Background())
	go started.AnnounceUntilDone(announceCtx, heartbeatInterval)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instance, n.stopAnnouncing = started, stop
	n.instancesStarted++
}

// stopInstance stops the backend server without deregistering it, as in a crash.
func (n *node) stopInstance() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopAnnouncing()
	n.instance.Close()
	n.stoppedInstances = append(n.stoppedInstances, n.instance)
}

func (n *node) currentInstance() *instance.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instance
}

// runs returns all requests that the node's backend servers ran, without duplicates of an
// instance that is both current and stopped.
func (n *node) runs() []instance.Run {
	n.mu.Lock()
	all := append([]*instance.Instance{n.instance}, n.stoppedInstances...)
	n.mu.Unlock()
	var out []instance.Run
	seen := map[*instance.Instance]bool{}
	for _, i := range all {
		if !seen[i] {
			seen[i] = true
			out = append(out, i.Runs()...)
		}
	}
	return out
}
