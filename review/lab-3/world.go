package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat   = 500 * time.Millisecond
	readyWithin = 30 * time.Second
	// memoryMb is the memory of a machine on the site.
	memoryMb = 284
)

// world is a small deployment on loopback addresses.
type world struct {
	dir     string
	started time.Time
	store   *store
	address string

	mu     sync.Mutex
	record io.WriteCloser
	ends   []func()
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, started: time.Now(), store: newStore(), record: f}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = lis.Addr().String()
	server := &http.Server{Handler: w.store.handler()}
	go func() { _ = server.Serve(lis) }()
	w.onClose(func() { _ = server.Close() })
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

// close ends everything that the case started.
func (w *world) close() {
	w.mu.Lock()
	ends := w.ends
	w.ends = nil
	w.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Close()
}

// configure writes the operator's configuration.
func (w *world) configure(c map[string]any) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	w.store.put(rowName{Table: "op", Key: "config"}, value)
	w.note("operator: configuration %s", value)
	return nil
}

// usedPorts are the ports that freePorts has returned; a process may not listen on its ports yet.
var usedPorts = map[int]bool{}

// freePorts returns addresses of 127.0.0.1 that nothing listens on. They lie below the ports that the kernel
// gives to connections.
func freePorts(n int) ([]string, error) {
	const first, last, tries = 20000, 30000, 1000
	var out []string
	for range tries {
		port := first + rand.IntN(last-first)
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer lis.Close()
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		if out = append(out, lis.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// node is a machine: a process of the system beside an endpoint.
type node struct {
	w                               *world
	id, service                     string
	outbound, control, inbound      string
	metrics, ready, backend, config string
	process                         *os.Process
	endpoint                        *endpoint

	mu     sync.Mutex
	exited bool
}

// addNode starts an endpoint of a service and the node beside it.
func (w *world) addNode(id, service string) (*node, error) {
	ports, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	n := &node{w: w, id: id, service: service, outbound: ports[0], control: ports[1], inbound: ports[2], metrics: ports[3], ready: ports[4], backend: ports[5]}
	n.config = filepath.Join(w.dir, id+".json")
	settings, err := json.Marshal(map[string]any{
		"id": id, "deployment": "mesh", "domain": "zone-a",
		"listen":   map[string]any{"caller": n.outbound, "backend": n.control, "peer": n.inbound, "metrics": n.metrics},
		"platform": map[string]any{"url": "http://" + w.address, "timeoutMs": 700},
		"mesh": map[string]any{
			"service": service, "backend": n.backend, "ready": n.ready, "domains": []string{"zone-a"},
			"heartbeatMs": heartbeat.Milliseconds(), "keyStalenessMs": 5000, "stopSeconds": 6,
			"retryRatio": 0.2, "retryReserve": 50, "memoryMb": memoryMb,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.config, settings, 0o600); err != nil {
		return nil, err
	}
	if n.endpoint, err = w.startEndpoint("i-"+id, service, n.backend, n.control); err != nil {
		return nil, err
	}
	return n, n.start()
}

// start starts the process with the command of the deploy file, in the repository's root.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command, err := runLine()
	if err != nil {
		return err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYCART_CONFIG=" + n.config}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process = cmd.Process
	n.mu.Lock()
	n.exited = false
	n.mu.Unlock()
	n.w.note("%s: process %d started, clients at %s", n.id, cmd.Process.Pid, n.outbound)
	ended := make(chan struct{})
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.exited = true
		n.mu.Unlock()
		n.w.note("%s: process ended: %v", n.id, err)
		close(ended)
	}()
	n.w.onClose(func() {
		_ = n.process.Signal(syscall.SIGKILL)
		<-ended
		n.keepLog()
	})
	return nil
}

// keepLog appends the last lines of the node's log to the record.
func (n *node) keepLog() {
	data, err := os.ReadFile(filepath.Join(n.w.dir, n.id+".log"))
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	const most = 25
	for _, line := range lines[max(0, len(lines)-most):] {
		n.w.note("log of %s: %.400s", n.id, line)
	}
}

func (n *node) hasExited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// runLine returns the words of the deploy file's run line.
func runLine() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if words, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(words, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

// awaitReady waits until the node answers the readiness check and serves a request.
func (n *node) awaitReady(host, path, key string) error {
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		if resp, err := http.Get("http://" + n.ready + "/comfreycart/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && n.isServing(host, path, key) {
				n.w.note("%s: ready", n.id)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.id)
}

func (n *node) isServing(host, path, key string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.outbound+path, nil)
	if err != nil {
		return false
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Attempt-Id", newAttempt())
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
