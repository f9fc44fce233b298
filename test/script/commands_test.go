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

// command is one command of the scenarios' language; its output can be matched
// with stdout.
type command func(f *fleet, ts *testscript.TestScript, args []string) (string, error)

// commands are ours besides the built-in ones:
//
//	fleet DEPLOYMENT N [tls]      start the platform and N nodes, apply the example, set $KEY_account
//	addnode                       start one more node
//	backend NODE SERVICE [FLAG..] start a backend server
//	ready ENDPOINTS NODE..        wait until the nodes see so many endpoints
//	start|kill|freeze|thaw NAME.. control processes (nodes, NODE-SERVICE, platform)
//	stopnode NAME..               planned stop of all at once; each must exit with 0
//	cut|heal A B                  a link both ways; A>B one way
//	platform JSON                 the platform's faults
//	behave NODE SERVICE JSON      what a backend server does
//	request NODE METHOD PATH [key=K] [idem=I] [body=B] [h:NAME=V]
//	eventually SECONDS COMMAND..  retry request, journal, metric, log or run until its output holds WANT: .. -- WANT
//	log NAME                      a process's log, for eventually
//	run ARG..                     the command-line tool, for eventually
//	traffic NAME RATE NODES METHOD PATH [key=..] ..    start traffic
//	endtraffic NAME               end it and print what came back
//	journal NODE SERVICE          print what a backend server ran
//	runs NODE SERVICE             print how many calls a backend server ran
//	metric NODE PATTERN           print matching metric lines
//	withdraw NODE TEAM ACCOUNT    withdraw the account's key
//	plain NODE                    talk to the peer listener without TLS
//	race TEAM,.. NODE..           operators at the nodes change the teams' subtrees at once
//	sleep SECONDS
//	inrate ACCOUNT RATE BURST DELAY NODE/SERVICE..    check the windows of its calls, see inRateCmd
//	refused NAME PERCENT          end traffic; at most PERCENT of it may fail
var commands = wrap(map[string]command{
	"fleet": fleetCmd, "addnode": addNodeCmd, "backend": backendCmd, "ready": readyCmd,
	"start": startCmd, "killnode": killCmd, "freeze": freezeCmd, "thaw": thawCmd, "stopnode": stopCmd,
	"cut": cutCmd, "heal": healCmd, "platform": platformCmd, "behave": behaveCmd,
	"request": requestCmd, "traffic": trafficCmd, "endtraffic": endTrafficCmd,
	"journal": journalCmd, "runs": runsCmd, "metric": metricCmd, "withdraw": withdrawCmd, "sleep": sleepCmd, "plain": plainCmd,
	"inrate": inRateCmd, "refused": refusedCmd,
	"race": raceCmd,
})

// retryable are the commands that eventually may repeat.
var retryable = map[string]command{
	"request": requestCmd, "journal": journalCmd, "metric": metricCmd, "run": runCmd, "log": logCmd,
}

func init() {
	commands["eventually"] = eventually
}

func wrap(in map[string]command) map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range in {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			text, err := c(ts.Value(fleetKey{}).(*fleet), ts, args)
			_, _ = io.WriteString(ts.Stdout(), text)
			if neg && err == nil {
				ts.Fatalf("%s succeeded, but was to fail", name)
			}
			if !neg {
				ts.Check(err)
			}
		}
	}
	return out
}

// eventually SECONDS COMMAND ARG.. -- WANT
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	c, want := retryable[args[1]], args[len(args)-1]
	if c == nil || neg || args[len(args)-2] != "--" {
		ts.Fatalf("usage: eventually SECONDS COMMAND ARG.. -- WANT")
	}
	err = await(time.Duration(seconds*float64(time.Second)), func() error {
		text, err := c(ts.Value(fleetKey{}).(*fleet), ts, args[2:len(args)-2])
		if err == nil && !strings.Contains(text, want) {
			err = fmt.Errorf("no %q in: %s", want, text)
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
	ts.Setenv("COMFREYCART_ADMIN", f.scheme()+f.addr(0, portAdmin))
	ts.Setenv("COMFREYCART_TOKEN", adminToken)
	file := examplesDir() + "/" + f.deployment + ".json"
	if own := ts.MkAbs("settings.json"); exists(own) {
		file = own
	}
	return "", f.configure(file, ts.Setenv)
}

// configure applies a settings file and grants each account a key.
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
	var last uint64
	for team, t := range tree.Teams {
		for account := range t.Accounts {
			a, err := client.GrantKey(context.Background(), team, account, "", operator.ChangeOptions{})
			if err != nil {
				return err
			}
			name := strings.ReplaceAll(account, "-", "_")
			setenv("KEY_"+name, a.Key)
			setenv("ID_"+name, a.KeyID)
			last = a.Version
		}
	}
	for name := range f.nodes {
		if err := await(readyTimeout, func() error { return f.ready(name, last, 0) }); err != nil {
			return err
		}
	}
	return nil
}

func exists(file string) bool {
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
		if err := await(readyTimeout, func() error { return f.ready(name, 1, endpoints) }); err != nil {
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
			return "", fmt.Errorf("%s did not stop", name)
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return "", fmt.Errorf("%s exited with %d", name, code)
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

func (f *fleet) setLink(args []string, cut bool) error {
	if from, to, ok := strings.Cut(args[0], ">"); ok {
		f.links.SetCut(from, to, cut)
		return nil
	}
	if len(args) != 2 {
		return fmt.Errorf("want A B or A>B")
	}
	f.links.SetCut(args[0], args[1], cut)
	f.links.SetCut(args[1], args[0], cut)
	return nil
}

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

func (f *fleet) parseRequest(args []string) (request, error) {
	q := request{method: args[0], path: args[1], header: map[string]string{}}
	for _, a := range args[2:] {
		name, value, _ := strings.Cut(a, "=")
		switch {
		case name == "key":
			q.key = value
		case name == "idem":
			q.idempotency = value
		case name == "body":
			q.body = value
		case strings.HasPrefix(name, "h:"):
			q.header[name[2:]] = value
		default:
			return q, fmt.Errorf("unknown part %q", a)
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
	out, err := q.send()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d\nreason %s\noutcome %s\nretry-after %s\nbody %s\n",
		out.status, out.reason, out.outcome, out.header.Get("Retry-After"), out.body), nil
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
	t := f.traffic[args[0]]
	f.mu.Unlock()
	if t == nil {
		return "", fmt.Errorf("no traffic %s", args[0])
	}
	t.finish()
	return t.report(), nil
}

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
	cmd := exec.Command(filepath.Join(binaries, "comfreycart"), args...)
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
