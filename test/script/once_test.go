package script

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// Commands for requests that must run at most once:
//
//	storm NAME RATE REPEATS NODES METHOD PATH [key=..] .. [random=yes]
//	                     start requests, each sent REPEATS times at once under one key,
//	                     which is a UUID of version 7 or, if random, 4
//	again NAME NODES     send each request of an ended storm once more
//	endstorm NAME        end it and compare what came back with the backend servers' journals
//	subcall NODE METHOD PATH HANDLE
//	                     send a sub-call to the node's egress listener
//	handle VARIABLE NODE SERVICE
//	                     set the variable to the last call's handle in a journal
//	mixed NODE PREFIX N KEY
//	                     send N different requests at once and match the answers
//	escape VARIABLE TEXT set the variable to the text with every byte percent-encoded
//	sent LOW HIGH        check how many calls the backend servers got since the last check
//	crash NAME..         kill processes (the language's own kill is another command)
//	planned NAME..       planned stop (the language's own stop is another command)
//	raw NODE TEXT [cut]  send raw bytes to the caller listener and print the answer
var onceCommands = map[string]command{
	"storm": stormCmd, "endstorm": endStormCmd, "subcall": subCallCmd,
	"handle": handleCmd, "sent": sentCmd, "raw": rawCmd,
	"again": againCmd, "mixed": mixedCmd, "escape": escapeCmd,
}

func init() {
	retryable["subcall"] = subCallCmd
	for name, c := range wrap(onceCommands) {
		commands[name] = c
	}
}

// storm is traffic whose every request is compared with the journals.
type storm struct {
	traffic *traffic
	repeats int
	request request
	// random makes keys without a time.
	random bool

	mu      sync.Mutex
	results map[string][]outcome
}

var storms sync.Map

func stormCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	rate, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return "", err
	}
	repeats, err := strconv.Atoi(args[2])
	if err != nil {
		return "", err
	}
	var urls []string
	for name := range strings.SplitSeq(args[3], ",") {
		n, err := f.node(name)
		if err != nil {
			return "", err
		}
		urls = append(urls, "http://"+n.Listen.Caller)
	}
	random := args[len(args)-1] == "random=yes"
	if random {
		args = args[:len(args)-1]
	}
	q, err := f.parseRequest(args[4:])
	if err != nil {
		return "", err
	}
	s := &storm{random: random, repeats: repeats, request: q, results: map[string][]outcome{}}
	s.traffic = &traffic{stop: make(chan struct{})}
	s.traffic.wg.Add(1)
	go s.run(q, urls, time.Duration(float64(time.Second)/rate))
	storms.Store(f.net.IP(0)+args[0], s)
	return "", nil
}

func (s *storm) run(q request, urls []string, pause time.Duration) {
	defer s.traffic.wg.Done()
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-s.traffic.stop:
			return
		case <-tick.C:
		}
		q.idempotency = uuid.Must(uuid.NewV7()).String()
		if s.random {
			q.idempotency = uuid.NewString()
		}
		for n := range s.repeats {
			q.url = urls[(i+n)%len(urls)]
			s.traffic.wg.Add(1)
			go s.one(q)
		}
	}
}

func (s *storm) one(q request) {
	defer s.traffic.wg.Done()
	out, err := q.send()
	if err != nil {
		out = outcome{reason: "lost"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[q.idempotency] = append(s.results[q.idempotency], out)
}

func againCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	x, ok := storms.Load(f.net.IP(0) + args[0])
	if !ok {
		return "", fmt.Errorf("no storm %s", args[0])
	}
	s := x.(*storm)
	s.traffic.finish()
	nodes := strings.Split(args[1], ",")
	for i, key := range slices.Collect(maps.Keys(s.results)) {
		n, err := f.node(nodes[i%len(nodes)])
		if err != nil {
			return "", err
		}
		q := s.request
		q.url, q.idempotency = "http://"+n.Listen.Caller, key
		s.traffic.wg.Add(1)
		go s.one(q)
	}
	s.traffic.wg.Wait()
	return "", nil
}

func endStormCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	x, ok := storms.Load(f.net.IP(0) + args[0])
	if !ok {
		return "", fmt.Errorf("no storm %s", args[0])
	}
	s := x.(*storm)
	s.traffic.finish()
	runs, err := f.runs()
	if err != nil {
		return "", err
	}
	return s.compare(runs), nil
}

// runs counts the calls of each idempotency key over all journals.
func (f *fleet) runs() (map[string]int, error) {
	runs := map[string]int{}
	for place := range f.backends {
		node, service, _ := strings.Cut(place, "/")
		entries, err := f.journal(node, service)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			runs[e.IdempotencyKey]++
		}
	}
	return runs, nil
}

func (s *storm) compare(runs map[string]int) string {
	counts := map[string]int{}
	var twice, falseNotRun, falseAnswer int
	for key, outs := range s.results {
		n := runs[key]
		notRun := 0
		for _, o := range outs {
			counts[strings.TrimSpace(fmt.Sprintf("%d %s %s", o.status, o.reason, o.outcome))]++
			if o.outcome == "not-run" {
				notRun++
			}
			if o.status == http.StatusOK && n == 0 {
				falseAnswer++
			}
		}
		if n > 1 {
			twice++
		}
		if n > 0 && notRun == len(outs) {
			falseNotRun++
		}
	}
	lines := []string{
		fmt.Sprintf("requests: %d", len(s.results)), fmt.Sprintf("ran twice: %d", twice),
		fmt.Sprintf("false not-run: %d", falseNotRun), fmt.Sprintf("answers without a run: %d", falseAnswer),
	}
	for label, n := range counts {
		lines = append(lines, fmt.Sprintf("came back %s: %d", label, n))
	}
	slices.Sort(lines[4:])
	return strings.Join(lines, "\n") + "\n"
}

func subCallCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	n, err := f.node(args[0])
	if err != nil {
		return "", err
	}
	q := request{url: "http://" + n.Listen.Egress, method: args[1], path: args[2], header: map[string]string{"Comfreycart-Call": args[3]}}
	out, err := q.send()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d\nreason %s\noutcome %s\nbody %s\n", out.status, out.reason, out.outcome, out.body), nil
}

func handleCmd(f *fleet, ts *testscript.TestScript, args []string) (string, error) {
	entries, err := f.journal(args[1], args[2])
	if err != nil {
		return "", err
	}
	if len(entries) == 0 {
		return "", fmt.Errorf("the journal is empty")
	}
	ts.Setenv(args[0], entries[len(entries)-1].Call)
	return "", nil
}

func escapeCmd(_ *fleet, ts *testscript.TestScript, args []string) (string, error) {
	var b strings.Builder
	for _, c := range []byte(args[1]) {
		fmt.Fprintf(&b, "%%%02x", c)
	}
	ts.Setenv(args[0], b.String())
	return "", nil
}

// counted holds how many calls each fleet had got at its last check.
var counted sync.Map

func sentCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	low, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	high, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	total := 0
	for place := range f.backends {
		node, service, _ := strings.Cut(place, "/")
		entries, err := f.journal(node, service)
		if err != nil {
			return "", err
		}
		total += len(entries)
	}
	before, _ := counted.Swap(f.net.IP(0), total)
	if before != nil {
		total -= before.(int)
	}
	if total < low || total > high {
		return "", fmt.Errorf("%d calls were sent, want %d to %d", total, low, high)
	}
	return fmt.Sprintf("sent: %d\n", total), nil
}

func rawCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	n, err := f.node(args[0])
	if err != nil {
		return "", err
	}
	c, err := net.DialTimeout("tcp", n.Listen.Caller, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(args[1]))); err != nil {
		return "", err
	}
	if tcp, ok := c.(*net.TCPConn); ok && len(args) > 2 && args[2] == "cut" {
		_ = tcp.CloseWrite()
	}
	answer, _ := io.ReadAll(c)
	return string(answer), nil
}

func mixedCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	n, err := f.node(args[0])
	if err != nil {
		return "", err
	}
	count, err := strconv.Atoi(args[2])
	if err != nil {
		return "", err
	}
	const atOnce = 8
	var wg sync.WaitGroup
	var whole, foreign, refused atomic.Int64
	room := make(chan struct{}, atOnce)
	for i := range count {
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-room }()
			path := args[1] + strconv.Itoa(i)
			out, err := request{url: "http://" + n.Listen.Caller, method: "GET", path: path, key: args[3]}.send()
			switch {
			case err != nil || out.status != http.StatusOK:
				refused.Add(1)
			case strings.Contains(out.body, `"path":"`+path+`"`):
				whole.Add(1)
			default:
				foreign.Add(1)
			}
		}()
	}
	wg.Wait()
	return fmt.Sprintf("whole: %d\nforeign: %d\nrefused: %d\n", whole.Load(), foreign.Load(), refused.Load()), nil
}
