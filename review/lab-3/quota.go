package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	quotaRate, quotaBurst = 10, 200
	// The bounds of QUOTA in the settings of the sites.
	quotaWindow           = 5 * time.Second
	quotaOverage          = 0.1
	quotaSlack            = 20
	quotaRequestsPerBurst = 260
)

// playQuota has a tenant send two bursts, each of more than its quota allows, 3.5 s apart, and be silent
// in between; another tenant sends all the while. With trouble, two of the four nodes are stopped in turn
// between the bursts, as in a rolling restart.
func playQuota(w *world, trouble bool) (bool, error) {
	if err := w.configure(basicConfig("/leny950/", "huvo11a", quotaRate, quotaBurst)); err != nil {
		return false, err
	}
	var nodes []*node
	for i := range 4 {
		n, err := w.addNode(fmt.Sprintf("n%d", i+1), "huvo11a")
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
		time.Sleep(300 * time.Millisecond)
	}
	for _, n := range nodes {
		if err := n.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	entry := nodes[3]
	stop := make(chan struct{})
	var other sync.WaitGroup
	other.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				_, _ = w.ask(entry, keyC)
			}
		}
	})
	time.Sleep(2 * time.Second)
	begin := time.Now()
	w.burst(entry, 1)
	time.Sleep(time.Until(begin.Add(900 * time.Millisecond)))
	for i := range 2 {
		if trouble {
			w.note("platform: SIGTERM to %s", nodes[i].id)
			_ = nodes[i].process.Signal(syscall.SIGTERM)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(3500 * time.Millisecond)))
	w.burst(entry, 2)
	close(stop)
	other.Wait()
	return w.checkQuota(nodes), nil
}

// ask sends one request on a connection of its own and returns the status.
func (w *world) ask(n *node, key string) (int, error) {
	c, err := dial(n.outbound)
	if err != nil {
		return 0, err
	}
	defer c.conn.Close()
	attempt := newAttempt()
	if err := c.send(head(http.MethodGet, "/leny950/2f", attempt, key, 3*time.Second, "")); err != nil {
		return 0, err
	}
	answer, err := c.readHead(4 * time.Second)
	return answer.status, err
}

func (w *world) burst(n *node, number int) {
	var mu sync.Mutex
	statuses := map[string]int{}
	var all sync.WaitGroup
	for range quotaRequestsPerBurst {
		all.Go(func() {
			status, err := w.ask(n, keyA)
			what := strconv.Itoa(status)
			if err != nil {
				what = "none"
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[what]++
		})
		time.Sleep(2 * time.Millisecond)
	}
	all.Wait()
	w.note("clients: burst %d of tenant-a at %s, answers by status: %v", number, n.id, statuses)
}

// checkQuota reports whether no window has more runs of tenant-a than QUOTA allows.
func (w *world) checkQuota(nodes []*node) bool {
	var at []time.Time
	for _, n := range nodes {
		n.endpoint.mu.Lock()
		for _, r := range n.endpoint.runs {
			if r.tenant == "tenant-a" {
				at = append(at, r.at)
			}
		}
		n.endpoint.mu.Unlock()
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= quotaWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	w.note("endpoints: tenant-a ran %d requests in all, at most %d in %s; QUOTA allows %.0f", len(at), most, quotaWindow, allowed)
	return float64(most) <= allowed
}
