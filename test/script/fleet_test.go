package script

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"comfreycart.dev/comfreycart/internal/certs"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/operator"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/test/links"
	"comfreycart.dev/comfreycart/test/loopback"
	"comfreycart.dev/comfreycart/test/pki"
)

const (
	adminToken   = "script-admin-token"
	readyTimeout = 30 * time.Second
	readyPause   = 25 * time.Millisecond
	// domains is the number of failure domains that nodes are spread over.
	domains = 3

	portCaller   = 7001
	portBackend  = 7002
	portEgress   = 7003
	portPeer     = 7004
	portAdmin    = 7005
	portMetrics  = 7006
	portPlatform = 7100
	portService  = 8000
)

type fleetKey struct{}

// process is one program that a scenario started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// fleet is what one scenario runs: its own addresses, processes and links.
type fleet struct {
	dir string
	net *loopback.Network
	// direct leaves the links out, for measurements.
	direct bool
	// pki, if set, signs a certificate for each node's listeners.
	pki   *pki.Authority
	links *links.Links

	mu         sync.Mutex
	deployment string
	processes  map[string]*process
	nodes      map[string]*config.Node
	backends   map[string]string
	next       int
	traffic    map[string]*traffic
}

func newFleet(dir string) *fleet {
	f := &fleet{
		dir: dir, processes: map[string]*process{}, nodes: map[string]*config.Node{},
		backends: map[string]string{}, traffic: map[string]*traffic{},
	}
	network, err := loopback.Claim()
	if err != nil {
		panic(err)
	}
	f.net = network
	f.links = links.New()
	return f
}

func (f *fleet) close() {
	f.mu.Lock()
	all := make([]*process, 0, len(f.processes))
	for _, p := range f.processes {
		all = append(all, p)
	}
	running := f.traffic
	f.mu.Unlock()
	for _, t := range running {
		t.finish()
	}
	for _, p := range all {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	f.links.Close()
	f.net.Release()
}

// spawn starts a program whose output goes to NAME.log in the scenario's folder.
func (f *fleet) spawn(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

func (f *fleet) process(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no process %s", name)
}

// addr returns an address of node i's VM.
func (f *fleet) addr(i, port int) string { return f.net.Address(10+2*i, port) }

// relay returns an address of the links in front of node i.
func (f *fleet) relay(i, port int) string { return f.net.Address(11+2*i, port) }

func (f *fleet) platformAddr() string { return f.net.Address(2, portPlatform) }

func nodeName(i int) string { return fmt.Sprintf("node%d", i+1) }

// start starts the platform and n nodes, which have no settings yet.
func (f *fleet) start(deployment string, n int) error {
	f.deployment = deployment
	if err := f.spawn("platform", "standin", "platform", "--listen", f.platformAddr()); err != nil {
		return err
	}
	for i := range n {
		if err := f.addNode(i); err != nil {
			return err
		}
	}
	return nil
}

// addNode writes the file of node i, opens its links and starts it.
func (f *fleet) addNode(i int) error {
	name := nodeName(i)
	ip := f.net.IP(10 + 2*i)
	f.links.SetName(ip, name)
	if err := f.links.OpenRelay(f.relay(i, portPeer), f.addr(i, portPeer), "", name); err != nil {
		return err
	}
	if err := f.links.OpenRelay(f.relay(i, portPlatform), f.platformAddr(), name, "platform"); err != nil {
		return err
	}
	cfg := &config.Node{
		ID: name, Deployment: f.deployment, Domain: fmt.Sprintf("domain%d", i%domains+1),
		Listen: config.Listen{
			Caller: f.addr(i, portCaller), Backend: f.addr(i, portBackend), Egress: f.addr(i, portEgress),
			Peer: f.addr(i, portPeer), Admin: f.addr(i, portAdmin), Metrics: f.addr(i, portMetrics),
		},
		AdvertisePeer:    f.relay(i, portPeer),
		Platform:         config.Platform{URL: "http://" + f.relay(i, portPlatform)},
		Contacts:         []string{f.relay(0, portPeer)},
		AdminTokenSHA256: settings.HashKey(adminToken),
	}
	if f.direct {
		cfg.AdvertisePeer = ""
		cfg.Contacts = []string{f.addr(0, portPeer)}
	}
	if f.pki != nil {
		files, err := f.pki.Sign(name+"-cert", time.Now().Add(time.Hour), net.ParseIP(ip))
		if err != nil {
			return err
		}
		cfg.TLS = config.TLS{Caller: withoutCA(files), Admin: withoutCA(files), Peer: files}
	}
	f.mu.Lock()
	f.nodes[name] = cfg
	f.mu.Unlock()
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.nodeFile(name), data, 0o600); err != nil {
		return err
	}
	return f.startNode(name)
}

func withoutCA(f *certs.Files) *certs.Files { return &certs.Files{Cert: f.Cert, Key: f.Key} }

// scheme is how the callers' and the admin listeners are spoken to.
func (f *fleet) scheme() string {
	if f.pki != nil {
		return "https://"
	}
	return "http://"
}

func (f *fleet) caFile() string { return filepath.Join(f.dir, "ca.pem") }

func (f *fleet) nodeFile(name string) string { return filepath.Join(f.dir, name+".json") }

func (f *fleet) startNode(name string) error {
	return f.spawn(name, "comfreycartd", "--config", f.nodeFile(name))
}

func (f *fleet) node(name string) (*config.Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n, nil
	}
	return nil, fmt.Errorf("no node %s", name)
}

func (f *fleet) operator(name string) (*operator.Client, error) {
	n, err := f.node(name)
	if err != nil {
		return nil, err
	}
	c := operator.New(f.scheme()+n.Listen.Admin, adminToken)
	if f.pki != nil {
		return c, c.TrustCA(f.caFile())
	}
	return c, nil
}

// startBackend starts a backend server beside a node.
func (f *fleet) startBackend(node, service string, args []string) error {
	n, err := f.node(node)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.next++
	host, _, _ := net.SplitHostPort(n.Listen.Caller)
	address := fmt.Sprintf("%s:%d", host, portService+f.next)
	f.backends[node+"/"+service] = address
	f.mu.Unlock()
	args = append([]string{"backend", "--node", "http://" + n.Listen.Backend, "--service", service, "--listen", address}, args...)
	return f.spawn(node+"-"+service, "standin", args...)
}

func (f *fleet) backend(node, service string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.backends[node+"/"+service]; a != "" {
		return "http://" + a, nil
	}
	return "", fmt.Errorf("no backend server %s at %s", service, node)
}

// await retries check until it succeeds or the time is up.
func await(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %w", limit, err)
		}
		time.Sleep(readyPause)
	}
}

// ready checks that a node has a settings version and sees so many endpoints.
func (f *fleet) ready(name string, version uint64, endpoints int) error {
	client, err := f.operator(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	seen := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			seen += len(m.Endpoints)
		}
	}
	if err := f.sharesOwned(name); err != nil {
		return err
	}
	if s.SettingsVersion < version || seen < endpoints {
		return fmt.Errorf("%s has version %d of %d and sees %d of %d endpoints", name, s.SettingsVersion, version, seen, endpoints)
	}
	return nil
}

// client calls nodes and stand-ins; who signed a node's certificate is not its matter.
var client = &http.Client{
	Timeout: 30 * time.Second,
	Transport: &http.Transport{
		TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
		ForceAttemptHTTP2: true,
	},
}
