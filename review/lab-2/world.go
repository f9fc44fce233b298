package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines, as on the users' platform.
const (
	portInbound  = 8543
	portOutbound = 8548
	portReady    = 8546
	portControl  = 8540
	portApp      = 8547
	portStore    = 8545
	portOwn      = 7000
)

// Bounds of the deployment, those of the small sites.
const (
	graceTime  = 6 * time.Second
	revokeMs   = 5000
	memoryMb   = 284
	heartbeat  = 1500 * time.Millisecond
	startLimit = 20 * time.Second
)

// world is one run of a case.
type world struct {
	folder, repo, dir string
	trouble           bool
	begin             time.Time
	// prefix is the first three bytes of the addresses in use, "127.x.y".
	prefix string
	zones  []string
	store  *store
	nodes  []*node

	mu     sync.Mutex
	record *os.File
}

func newWorld(folder string, trouble bool) (*world, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, repo: filepath.Dir(filepath.Dir(folder)), trouble: trouble, begin: time.Now()}
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if w.isFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// isFree reports whether the ports of the first machines can be used at the prefix.
func (w *world) isFree() bool {
	for host := 2; host < 20; host++ {
		for _, port := range []int{portInbound, portOutbound, portReady, portControl, portApp, portStore, portOwn} {
			l, err := net.Listen("tcp", w.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.prefix, host, port) }

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// now is the time since the start of the run.
func (w *world) now() time.Duration { return time.Since(w.begin) }

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		if n.endpoint != nil {
			n.endpoint.close()
		}
	}
	if w.store != nil {
		w.store.close()
	}
	_ = os.RemoveAll(w.dir)
}

// node is one machine: the daemon's process and the endpoint beside it.
type node struct {
	w        *world
	name     string
	zone     string
	service  string
	host     int
	endpoint *endpoint

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

func (n *node) address(port int) string { return n.w.address(n.host, port) }

// machine describes a machine to start.
type machine struct{ zone, service string }

// start starts the store with the configuration, all machines and waits until each of them serves a
// request of each route.
func (w *world) start(c config, machines []machine) error {
	seen := map[string]bool{}
	for _, m := range machines {
		if !seen[m.zone] {
			seen[m.zone] = true
			w.zones = append(w.zones, m.zone)
		}
	}
	var err error
	if w.store, err = startStore(w, w.address(2, portStore)); err != nil {
		return err
	}
	w.store.putConfig(c)
	for i, m := range machines {
		n := &node{w: w, name: fmt.Sprintf("sidecar-%s-%d", m.zone, i+1), zone: m.zone, service: m.service, host: 3 + i}
		w.nodes = append(w.nodes, n)
		if n.endpoint, err = startEndpoint(n, fmt.Sprintf("i-%04x", rand.IntN(1<<16))); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.awaitService(c)
}

// awaitService waits until each node is ready and serves the first route.
func (w *world) awaitService(c config) error {
	end := time.Now().Add(startLimit)
	for _, n := range w.nodes {
		for served := 0; served < 5; {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", n.name)
			}
			a := n.send(&request{method: "GET", host: c.Routes[0].Host, path: c.Routes[0].Prefix + "warm-up", key: c.firstKey(), deadline: 2 * time.Second})
			if n.isReady() && a.status == 200 {
				served++
				continue
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.logf("all nodes serve")
	return nil
}

// start starts the daemon's process with the command of the deploy file and the settings that the
// platform fills in.
func (n *node) start() error {
	run, template, err := readDeployFile(n.w.repo)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	file := filepath.Join(n.w.dir, n.name+".json")
	if err := os.WriteFile(file, []byte(fill(template, n.fields())), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.w.dir, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		return err
	}
	if keep := os.Getenv("LAB_LOGS"); keep != "" {
		if log, err = os.Create(filepath.Join(keep, fmt.Sprintf("%s-%d.log", n.name, n.starts))); err != nil {
			return err
		}
	}
	words := strings.Fields(run)
	cmd := exec.Command(filepath.Join(n.w.repo, words[0]), words[1:]...)
	cmd.Dir = n.w.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYCART_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	n.w.logf("%s: process started", n.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.w.logf("%s: process ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal and returns a channel that is closed once the process has ended.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.logf("%s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
	return n.exited
}

func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace time. It returns
// when the process has ended.
func (n *node) stop() {
	exited := n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		<-n.signal(syscall.SIGKILL)
	}
}

// isReady asks the readiness check as the platform does.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(portReady)+"/comfreycart/readiness", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fields are the fields from which the platform fills the template.
func (n *node) fields() map[string]any {
	return map[string]any{
		"node": n.name, "zone": n.zone, "ip": fmt.Sprintf("%s.%d", n.w.prefix, n.host), "service": n.service,
		"zones":           n.w.zones,
		"listen.outbound": n.address(portOutbound), "listen.control": n.address(portControl),
		"listen.inbound": n.address(portInbound), "listen.ready": n.address(portReady),
		"portRange.0": portOwn, "platform.address": n.w.address(2, portStore), "appAddr": n.address(portApp),
		"heartbeatMs": heartbeat.Milliseconds(), "bounds.revokeMs": revokeMs, "bounds.graceS": int(graceTime.Seconds()),
		"bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 50, "limits.memoryMb": memoryMb,
	}
}

var (
	runLine      = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	templateLine = regexp.MustCompile(`(?m)^template = "(.*)"$`)
	zonesSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// readDeployFile returns the command of the only role and the text of its template.
func readDeployFile(repo string) (run, template string, err error) {
	data, err := os.ReadFile(filepath.Join(repo, "deploy", "system.toml"))
	if err != nil {
		return "", "", err
	}
	r, t := runLine.FindStringSubmatch(string(data)), templateLine.FindStringSubmatch(string(data))
	if r == nil || t == nil {
		return "", "", fmt.Errorf("deploy file has no run or template line")
	}
	text, err := os.ReadFile(filepath.Join(repo, t[1]))
	return r[1], string(text), err
}

// fill renders the template: values, values as JSON, and the section over the zones.
func fill(template string, fields map[string]any) string {
	out := zonesSection.ReplaceAllStringFunc(template, func(section string) string {
		inner := zonesSection.FindStringSubmatch(section)[1]
		zones := fields["zones"].([]string)
		var all strings.Builder
		for i, zone := range zones {
			comma := ","
			if i == len(zones)-1 {
				comma = ""
			}
			all.WriteString(strings.NewReplacer("{{@}}", zone, "{{,}}", comma).Replace(inner))
		}
		return all.String()
	})
	return placeholder.ReplaceAllStringFunc(out, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value := fields[m[1]]
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return "null"
		}
		return string(encoded)
	})
}
