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

// onceCommands are the commands for requests that must run at most once:
//
//	storm NAME RATE REPEATS NODES METHOD PATH [key=..] .. [random=yes]
//	                     start RATE requests/s, each sent REPEATS times at once under one
//	                     idempotency key: a version 7 UUID, which holds a time, or with
//	                     random=yes a version 4 UUID, which holds none
//	again NAME NODES     end a storm and send each of its requests once more
//	endstorm NAME        end a storm and compare the responses with the backend servers' journals
//	subcall NODE METHOD PATH HANDLE
//	                     send a sub-call to the node's egress listener
//	handle VARIABLE NODE SERVICE
//	                     set the variable to the call handle of the last entry in a journal
//	mixed NODE PREFIX N KEY
//	                     send N requests with different paths, eight at a time, and count the
//	                     answers to the right request, to another one, and refusals
//	escape VARIABLE TEXT set the variable to the text with every byte percent-encoded
//	sent LOW HIGH        check that the backend servers received LOW to HIGH calls since the
//	                     last check
//	raw NODE TEXT [cut]  send raw bytes to the caller listener and print the response; with cut,
//	                     close the sending side after them
var onceCommands = map[string]command{
	"storm": stormCmd, "endstorm": endStormCmd, "subcall": subCallCmd,
	"handle": handleCmd, "sent": sentCmd, "raw": rawCmd,
	"again": againCmd, "mixed": mixedCmd, "escape": escapeCmd,
}

func init() {
	retryable["subcall"] = subCallCmd
	for name, c := range adaptCommands(onceCommands) {
		commands[name] = c
	}
}

// storm is traffic that sends each request several times at once through different
// nodes, and keeps the responses by idempotency key.
type storm struct {
	traffic *traffic
	repeats int
	request request
	// randomKeys selects version 4 UUIDs as keys, which hold no time.
	randomKeys bool

	mu      sync.Mutex
	results map[string][]response
}

// runningStorms holds the storms by their fleet's first address and their name.
var runningStorms sync.Map

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
	s := &storm{randomKeys: random, repeats: repeats, request: q, results: map[string][]response{}}
	s.traffic = &traffic{stop: make(chan struct{})}
	s.traffic.wg.Add(1)
	go s.run(q, urls, time.Duration(float64(time.Second)/rate))
	runningStorms.Store(f.net.IP(0)+args[0], s)
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
		q.idempotencyKey = uuid.Must(uuid.NewV7()).String()
		if s.randomKeys {
			q.idempotencyKey = uuid.NewString()
		}
		for n := range s.repeats {
			q.url = urls[(i+n)%len(urls)]
			s.traffic.wg.Add(1)
			go s.sendOne(q)
		}
	}
}

func (s *storm) sendOne(q request) {
	defer s.traffic.wg.Done()
	resp, err := q.send()
	if err != nil {
		resp = response{reason: "lost"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[q.idempotencyKey] = append(s.results[q.idempotencyKey], resp)
}

func againCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	stored, ok := runningStorms.Load(f.net.IP(0) + args[0])
	if !ok {
		return "", fmt.Errorf("no storm named %s", args[0])
	}
	s := stored.(*storm)
	s.traffic.finish()
	nodes := strings.Split(args[1], ",")
	for i, key := range slices.Collect(maps.Keys(s.results)) {
		n, err := f.node(nodes[i%len(nodes)])
		if err != nil {
			return "", err
		}
		q := s.request
		q.url, q.idempotencyKey = "http://"+n.Listen.Caller, key
		s.traffic.wg.Add(1)
		go s.sendOne(q)
	}
	s.traffic.wg.Wait()
	return "", nil
}

func endStormCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	stored, ok := runningStorms.Load(f.net.IP(0) + args[0])
	if !ok {
		return "", fmt.Errorf("no storm named %s", args[0])
	}
	s := stored.(*storm)
	s.traffic.finish()
	runs, err := f.runsByKey()
	if err != nil {
		return "", err
	}
	return s.compareWithJournals(runs), nil
}

// runsByKey returns the number of calls per idempotency key in all journals.
func (f *fleet) runsByKey() (map[string]int, error) {
	runs := map[string]int{}
	for location := range f.backends {
		node, service, _ := strings.Cut(location, "/")
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

// compareWithJournals counts the responses by kind and those that contradict the
// journals, given the number of runs of each idempotency key.
func (s *storm) compareWithJournals(runs map[string]int) string {
	counts := map[string]int{}
	var repeatedRuns, falseNotRun, falseAnswer int
	for key, responses := range s.results {
		n := runs[key]
		notRun := 0
		for _, o := range responses {
			counts[strings.TrimSpace(fmt.Sprintf("%d %s %s", o.status, o.reason, o.outcome))]++
			if o.outcome == "not-run" {
				notRun++
			}
			if o.status == http.StatusOK && n == 0 {
				falseAnswer++
			}
		}
		if n > 1 {
			repeatedRuns++
		}
		if n > 0 && notRun == len(responses) {
			falseNotRun++
		}
	}
	lines := []string{
		fmt.Sprintf("requests: %d", len(s.results)), fmt.Sprintf("ran twice: %d", repeatedRuns),
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
	resp, err := q.send()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d\nreason %s\noutcome %s\nbody %s\n", resp.status, resp.reason, resp.outcome, resp.body), nil
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

// lastSentCounts holds the total of calls at each fleet's last sent command, by the
// fleet's first address.
var lastSentCounts sync.Map

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
	for location := range f.backends {
		node, service, _ := strings.Cut(location, "/")
		entries, err := f.journal(node, service)
		if err != nil {
			return "", err
		}
		total += len(entries)
	}
	before, _ := lastSentCounts.Swap(f.net.IP(0), total)
	if before != nil {
		total -= before.(int)
	}
	if total < low || total > high {
		return "", fmt.Errorf("backend servers received %d calls, want %d to %d", total, low, high)
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
	const maxConcurrent = 8
	var wg sync.WaitGroup
	var matched, mismatched, refused atomic.Int64
	slots := make(chan struct{}, maxConcurrent)
	for i := range count {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			path := args[1] + strconv.Itoa(i)
			out, err := request{url: "http://" + n.Listen.Caller, method: "GET", path: path, apiKey: args[3]}.send()
			switch {
			case err != nil || out.status != http.StatusOK:
				refused.Add(1)
			case strings.Contains(out.body, `"path":"`+path+`"`):
				matched.Add(1)
			default:
				mismatched.Add(1)
			}
		}()
	}
	wg.Wait()
	return fmt.Sprintf("whole: %d\nforeign: %d\nrefused: %d\n", matched.Load(), mismatched.Load(), refused.Load()), nil
}
