package script

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"comfreycart.dev/comfreycart/internal/operator"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/test/pki"
	"comfreycart.dev/comfreycart/test/standin/backend"
)

// command implements one command of the scripts. Scripts match the text that it
// returns with stdout.
type command func(f *fleet, ts *testscript.TestScript, args []string) (string, error)

// commands are the commands that this package adds to those of testscript, whose own
// kill and stop are the reason for the names killnode and stopnode:
//
//	fleet DEPLOYMENT N [tls]      start the platform and N nodes, apply settings.json or the example,
//	                              set $KEY_account and $ID_account
//	addnode                       start one more node
//	backend NODE SERVICE [FLAG..] start a backend server
//	ready ENDPOINTS NODE..        wait until each node sees at least ENDPOINTS endpoints
//	start NODE..                  start stopped or killed nodes again
//	killnode|freeze|thaw NAME..   send SIGKILL, SIGSTOP or SIGCONT to processes (nodes, NODE-SERVICE, platform)
//	stopnode NAME..               send SIGTERM to all at once; each must exit with status 0
//	cut|heal A B                  cut or restore the link between A and B; A>B for that direction only
//	platform JSON                 set the platform's faults
//	behave NODE SERVICE JSON      set a backend server's behavior
//	request NODE METHOD PATH [key=K] [idem=I] [body=B] [h:NAME=V]
//	                              send a request and print its response
//	eventually SECONDS COMMAND.. -- WANT
//	                              repeat a command of retryable until its output contains WANT
//	log NAME                      print a process's log (only with eventually)
//	run ARG..                     run the comfreycart tool (only with eventually)
//	traffic NAME RATE NODES METHOD PATH [key=..] ..
//	                              start RATE requests/s through the comma-separated NODES in turn
//	endtraffic NAME               stop it and print how many responses of each status came back
//	journal NODE SERVICE          print the calls that a backend server ran
//	runs NODE SERVICE             print how many calls a backend server ran
//	metric NODE TEXT              print the metric lines that contain TEXT
//	withdraw NODE TEAM ACCOUNT    withdraw the account's API key
//	plain NODE                    send bytes without TLS to the peer listener
//	race TEAM,.. NODE..           change the teams' subtrees through all nodes at the same time
//	sleep SECONDS                 pause the script
//	inrate ACCOUNT RATE BURST DELAY NODE/SERVICE..    check an account's rate limit in every time window, see inRateCmd
//	refused NAME PERCENT          stop traffic; at most PERCENT of its requests may fail
var commands = adaptCommands(map[string]command{
	"fleet": fleetCmd, "addnode": addNodeCmd, "backend": backendCmd, "ready": readyCmd,
	"start": startCmd, "killnode": killCmd, "freeze": freezeCmd, "thaw": thawCmd, "stopnode": stopCmd,
	"cut": cutCmd, "heal": healCmd, "platform": platformCmd, "behave": behaveCmd,
	"request": requestCmd, "traffic": trafficCmd, "endtraffic": endTrafficCmd,
	"journal": journalCmd, "runs": runsCmd, "metric": metricCmd, "withdraw": withdrawCmd, "sleep": sleepCmd, "plain": plainCmd,
	"inrate": inRateCmd, "refused": refusedCmd,
	"race": raceCmd,
})

// retryable are the commands that eventually can repeat.
var retryable = map[string]command{
	"request": requestCmd, "journal": journalCmd, "metric": metricCmd, "run": runCmd, "log": logCmd,
}

func init() {
	commands["eventually"] = eventuallyCmd
}

// adaptCommands adapts commands to testscript's signature. A command's text is printed
// also when the command fails.
func adaptCommands(byName map[string]command) map[string]func(*testscript.TestScript, bool, []string) {
	adapted := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range byName {
		adapted[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			text, err := run(ts.Value(fleetKey{}).(*fleet), ts, args)
			_, _ = io.WriteString(ts.Stdout(), text)
			if neg && err == nil {
				ts.Fatalf("%s succeeded unexpectedly", name)
			}
			if !neg {
				ts.Check(err)
			}
		}
	}
	return adapted
}

// eventuallyCmd repeats a command until its output contains WANT or the time is up:
// eventually SECONDS COMMAND ARG.. -- WANT
func eventuallyCmd(ts *testscript.TestScript, neg bool, args []string) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	c, want := retryable[args[1]], args[len(args)-1]
	if c == nil || neg || args[len(args)-2] != "--" {
		ts.Fatalf("usage: eventually SECONDS COMMAND ARG.. -- WANT")
	}
	err = await(time.Duration(seconds*float64(time.Second)), func() error {
		text, err := c(ts.Value(fleetKey{}).(*fleet), ts, args[2:len(args)-2])
		if err == nil && !strings.Contains(text, want) {
			err = fmt.Errorf("output does not contain %q: %s", want, text)
		}
		return err
	})
	ts.Check(err)
}

func fleetCmd(f *fleet, ts *testscript.TestScript, args []string) (string, error) {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	if len(args) > 2 && args[2] == "tls" {
		if f.pki, err = pki.New(f.dir, "ca"); err != nil {
			return "", err
		}
		ts.Setenv("COMFREYCART_CA", f.caFile())
	}
	if err := f.start(args[0], n); err != nil {
		return "", err
	}
	ts.Setenv("COMFREYCART_ADMIN", f.scheme()+f.nodeAddr(0, portAdmin))
	ts.Setenv("COMFREYCART_TOKEN", adminToken)
	file := examplesDir() + "/" + f.deployment + ".json"
	if scriptSettings := ts.MkAbs("settings.json"); fileExists(scriptSettings) {
		file = scriptSettings
	}
	return "", f.configure(file, ts.Setenv)
}

// configure applies a settings file, grants each account an API key, passes the keys
// and their ids to setenv, and waits until all nodes have the last version.
func (f *fleet) configure(file string, setenv func(name, value string)) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	tree, err := settings.Parse(data)
	if err != nil {
		return err
	}
	client, err := f.operator("node1")
	if err != nil {
		return err
	}
	if err := await(readyTimeout, func() error {
		_, err := client.PutTree(context.Background(), tree, operator.ChangeOptions{ID: "script"})
		return err
	}); err != nil {
		return err
	}
	var lastVersion uint64
	for team, subtree := range tree.Teams {
		for account := range subtree.Accounts {
			granted, err := client.GrantKey(context.Background(), team, account, "", operator.ChangeOptions{})
			if err != nil {
				return err
			}
			name := strings.ReplaceAll(account, "-", "_")
			setenv("KEY_"+name, granted.Key)
			setenv("ID_"+name, granted.KeyID)
			lastVersion = granted.Version
		}
	}
	for name := range f.nodes {
		if err := await(readyTimeout, func() error { return f.checkReady(name, lastVersion, 0) }); err != nil {
			return err
		}
	}
	return nil
}

func fileExists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

func addNodeCmd(f *fleet, _ *testscript.TestScript, _ []string) (string, error) {
	return "", f.addNode(len(f.nodes))
}

func backendCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	return "", f.startBackend(args[0], args[1], args[2:])
}

func readyCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	endpoints, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	for _, name := range args[1:] {
		if err := await(readyTimeout, func() error { return f.checkReady(name, 1, endpoints) }); err != nil {
			return "", err
		}
	}
	return "", nil
}

func startCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	for _, name := range args {
		if err := f.startNode(name); err != nil {
			return "", err
		}
	}
	return "", nil
}

// signal sends a signal to the named processes.
func (f *fleet) signal(names []string, s syscall.Signal) error {
	for _, name := range names {
		p, err := f.process(name)
		if err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

func killCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	if err := f.signal(args, syscall.SIGKILL); err != nil {
		return "", err
	}
	for _, name := range args {
		p, _ := f.process(name)
		<-p.done
	}
	return "", nil
}

func freezeCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	return "", f.signal(args, syscall.SIGSTOP)
}

func thawCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	return "", f.signal(args, syscall.SIGCONT)
}

func stopCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	if err := f.signal(args, syscall.SIGTERM); err != nil {
		return "", err
	}
	for _, name := range args {
		p, _ := f.process(name)
		select {
		case <-p.done:
		case <-time.After(readyTimeout):
			return "", fmt.Errorf("%s did not exit after SIGTERM", name)
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return "", fmt.Errorf("%s exited with status %d", name, code)
		}
	}
	return "", nil
}

func cutCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	return "", f.setLink(args, true)
}

func healCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	return "", f.setLink(args, false)
}

// setLink cuts or restores a link: "A B" both ways, "A>B" in one direction.
func (f *fleet) setLink(args []string, cut bool) error {
	if from, to, ok := strings.Cut(args[0], ">"); ok {
		f.links.SetCut(from, to, cut)
		return nil
	}
	if len(args) != 2 {
		return fmt.Errorf("a link is given as A B or A>B")
	}
	f.links.SetCut(args[0], args[1], cut)
	f.links.SetCut(args[1], args[0], cut)
	return nil
}

// post sends a JSON body and fails on a status of 300 or more.
func post(url, body string) error {
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

func platformCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	return "", post("http://"+f.platformAddr()+"/control", args[0])
}

func behaveCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	url, err := f.backend(args[0], args[1])
	if err != nil {
		return "", err
	}
	return "", post(url+"/control", args[2])
}

// parseRequest parses METHOD PATH [key=K] [idem=I] [body=B] [h:NAME=V]..
func (f *fleet) parseRequest(args []string) (request, error) {
	q := request{method: args[0], path: args[1], header: map[string]string{}}
	for _, a := range args[2:] {
		name, value, _ := strings.Cut(a, "=")
		switch {
		case name == "key":
			q.apiKey = value
		case name == "idem":
			q.idempotencyKey = value
		case name == "body":
			q.body = value
		case strings.HasPrefix(name, "h:"):
			q.header[name[2:]] = value
		default:
			return q, fmt.Errorf("unknown request argument %q", a)
		}
	}
	return q, nil
}

func requestCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	n, err := f.node(args[0])
	if err != nil {
		return "", err
	}
	q, err := f.parseRequest(args[1:])
	if err != nil {
		return "", err
	}
	q.url = f.scheme() + n.Listen.Caller
	resp, err := q.send()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d\nreason %s\noutcome %s\nretry-after %s\nbody %s\n",
		resp.status, resp.reason, resp.outcome, resp.header.Get("Retry-After"), resp.body), nil
}

func trafficCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	rate, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return "", err
	}
	var urls []string
	for name := range strings.SplitSeq(args[2], ",") {
		n, err := f.node(name)
		if err != nil {
			return "", err
		}
		urls = append(urls, f.scheme()+n.Listen.Caller)
	}
	q, err := f.parseRequest(args[3:])
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic[args[0]] = startTraffic(q, urls, rate)
	return "", nil
}

func endTrafficCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	f.mu.Lock()
	running := f.traffic[args[0]]
	f.mu.Unlock()
	if running == nil {
		return "", fmt.Errorf("no traffic named %s", args[0])
	}
	running.finish()
	return running.report(), nil
}

// get returns the body of a response with status 200.
func get(url string) ([]byte, error) {
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

// journal returns the calls that a backend server ran, from its stand-in's journal.
func (f *fleet) journal(node, service string) ([]backend.Entry, error) {
	url, err := f.backend(node, service)
	if err != nil {
		return nil, err
	}
	data, err := get(url + "/journal")
	if err != nil {
		return nil, err
	}
	var entries []backend.Entry
	err = json.Unmarshal(data, &entries)
	return entries, err
}

func journalCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	entries, err := f.journal(args[0], args[1])
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, e := range entries {
		header, _ := json.Marshal(e.Header)
		trailer, _ := json.Marshal(e.Trailer)
		fmt.Fprintf(&b, "%s %s account=%s idem=%s header=%s trailer=%s\n", e.Method, e.Path, e.Account, e.IdempotencyKey, header, trailer)
	}
	fmt.Fprintf(&b, "entries: %d\n", len(entries))
	return b.String(), nil
}

func runsCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	entries, err := f.journal(args[0], args[1])
	return fmt.Sprintf("runs: %d\n", len(entries)), err
}

func metricCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	n, err := f.node(args[0])
	if err != nil {
		return "", err
	}
	data, err := get("http://" + n.Listen.Metrics + "/metrics")
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, args[1]) {
			b.WriteString(line + "\n")
		}
	}
	return b.String(), nil
}

func withdrawCmd(f *fleet, ts *testscript.TestScript, args []string) (string, error) {
	client, err := f.operator(args[0])
	if err != nil {
		return "", err
	}
	id := ts.Getenv("ID_" + strings.ReplaceAll(args[2], "-", "_"))
	_, err = client.WithdrawKey(context.Background(), args[1], args[2], id, operator.ChangeOptions{})
	return "", err
}

func logCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	data, err := os.ReadFile(filepath.Join(f.dir, args[0]+".log"))
	return string(data), err
}

func runCmd(_ *fleet, ts *testscript.TestScript, args []string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "comfreycart"), args...)
	for _, name := range []string{"COMFREYCART_ADMIN", "COMFREYCART_TOKEN"} {
		cmd.Env = append(cmd.Env, name+"="+ts.Getenv(name))
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func plainCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	n, err := f.node(args[0])
	if err != nil {
		return "", err
	}
	c, err := net.Dial("tcp", n.Listen.Peer)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_, err = io.WriteString(c, "not a handshake, but long enough to be read as one\n")
	return "", err
}

func sleepCmd(_ *fleet, _ *testscript.TestScript, args []string) (string, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	return "", err
}
