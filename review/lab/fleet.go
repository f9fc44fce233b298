package main

import (
	"context"
	"encoding/json"
	"errors"
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

// Ports of a node, the same on all machines.
const (
	portInbound = 21543 + iota
	portOutbound
	portReady
	portControl
	portApp
	portStore
	portFirst
)

// bounds that the pages of the small site name.
const (
	heartbeat = 1500 * time.Millisecond
	contact   = 3 * time.Second
	drain     = 2 * time.Second
)

// fleet is a small deployment: the store and nodes in three zones, each beside one endpoint.
type fleet struct {
	rec   *record
	root  string
	dir   string
	ip    string
	run   []string
	store *store
	nodes []*machine
}

// machine is one machine: a node and the address of its endpoint.
type machine struct {
	f                 *fleet
	name, ip, service string
	zone              string
	configFile        string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool
}

var zones = []string{"jihlava-a", "trebic-b", "pelhrimov-c"}

// newFleet prepares the machines and starts the store. services holds the service of each machine;
// machine i is in zone i modulo 3.
func newFleet(rec *record, services []string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	line := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if line == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, dir: dir, run: strings.Fields(string(line[1]))}
	if f.ip, err = freeNetwork(len(services)); err != nil {
		return nil, err
	}
	if f.store, err = startStore(f.address(1, portStore)); err != nil {
		return nil, err
	}
	for i, service := range services {
		m := &machine{f: f, name: fmt.Sprintf("m%d-%s", i, service), ip: f.host(10 + i), service: service, zone: zones[i%len(zones)]}
		if err := m.writeSettings(); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, m)
	}
	return f, nil
}

func (f *fleet) host(i int) string { return fmt.Sprintf("%s.%d", f.ip, i) }

func (f *fleet) address(i, port int) string { return fmt.Sprintf("%s:%d", f.host(i), port) }

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range machines {
			for port := portInbound; port <= portFirst && free; port++ {
				lis, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, 10+i, port))
				if free = err == nil; free {
					_ = lis.Close()
				}
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings fills the template of the deploy file as the platform does.
func (m *machine) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(m.f.root, "deploy/node.json.template"))
	if err != nil {
		return err
	}
	var names []string
	for _, z := range zones {
		names = append(names, `"`+z+`"`)
	}
	text := regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(string(template), strings.Join(names, ","))
	for name, value := range map[string]string{
		"node": m.name, "zone": m.zone, "ip": m.ip, "service": m.service, "appAddr": m.address(portApp),
		"listen.outbound": m.address(portOutbound), "listen.control": m.address(portControl),
		"listen.inbound": m.address(portInbound), "listen.ready": m.address(portReady),
		"portRange.0": fmt.Sprint(portFirst), "platform.address": m.f.address(1, portStore),
		"heartbeatMs|json": fmt.Sprint(heartbeat.Milliseconds()), "bounds.revokeMs|json": "5000", "bounds.graceS|json": "6",
		"bounds.retryBudgetRatio|json": "0.2", "bounds.budgetSlack|json": "50", "limits.memoryMb|json": "284",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return errors.New("deploy/node.json.template names a field that is not known here")
	}
	m.configFile = filepath.Join(m.f.dir, m.name+".json")
	return os.WriteFile(m.configFile, []byte(text), 0o600)
}

// start starts the node's process.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.f.root, m.f.run[0]), m.f.run[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.f.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYCART_CONFIG=" + m.configFile}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.ended = cmd, exited, false
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		m.mu.Lock()
		m.ended = true
		m.mu.Unlock()
		close(exited)
	}()
	m.f.rec.printf("%s: process started", m.name)
	return nil
}

// signal sends a signal to the node's process unless it has ended.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && !m.ended {
		m.f.rec.printf("%s: signal %s", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the node's process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portReady)+"/comfreycart/readiness", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) waitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// startAll starts all nodes within 0.3 s, in order, and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.nodes {
		if err := m.start(); err != nil {
			return err
		}
		time.Sleep(25 * time.Millisecond)
	}
	for _, m := range f.nodes {
		if err := m.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, m := range f.nodes {
		m.kill()
	}
	_ = f.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// table is a list of records in the form of the operator's configuration.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// route is one route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, attempts               int
	public                            bool
}

// tenant is one tenant of a configuration.
type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, routes []route, tenants []tenant) {
	c := map[string]any{
		"version": version,
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	rt := table{Columns: []string{"name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "trafficSplit", "maxAttempts", "public", "service"}}
	names := map[string]bool{}
	for _, r := range routes {
		rt.Rows = append(rt.Rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, 1500, 1, nil, r.attempts, r.public, r.service})
		names[r.service] = true
	}
	for _, m := range f.nodes {
		names[m.service] = true
	}
	st := table{Columns: []string{"name", "healthPath", "maxConnections", "protocol", "tls"}}
	for name := range names {
		st.Rows = append(st.Rows, []any{name, "/health", 532, "h1", false})
	}
	tt := table{Columns: []string{"name", "apiKeys", "priority", "ratePerS", "burst"}}
	for _, t := range tenants {
		tt.Rows = append(tt.Rows, []any{t.name, t.keys, 1, t.rate, t.burst})
	}
	c["routes"], c["services"], c["tenants"] = rt, st, tt
	value, _ := json.Marshal(c)
	f.store.put(rowName{Table: "op", Key: "config"}, value)
	f.rec.printf("configuration %d acknowledged", version)
}
