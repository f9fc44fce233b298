package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	quotaRate, quotaBurst = 10, 200
	// The bounds of QUOTA in the settings of the sites.
	quotaWindow   = 5 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 20
	burstRequests = 260
	// copyAge is how old the copy is that the store comes back from, at most that of the days that the
	// project plays.
	copyAge = 9 * time.Second
)

// playRestore has a tenant send two bursts, each of more than its quota allows. With trouble the store comes
// back from a copy between them, as in a drill, while all processes are killed at the same moment.
func playRestore(w *world, trouble bool) (bool, error) {
	config := basicConfig("/leny950/", "huvo11a")
	config["tenants"] = map[string]any{
		"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"},
		"rows":    [][]any{{"tenant-a", []string{keyA}, 1, quotaRate, quotaBurst}, {"tenant-b", []string{keyB}, 1, nil, nil}},
	}
	if err := w.configure(config); err != nil {
		return false, err
	}
	var nodes []*node
	for i := range 3 {
		n, err := w.addNode(fmt.Sprintf("n%d", i+1), "huvo11a")
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	started := time.Now()
	for _, n := range nodes {
		if err := n.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
			return false, err
		}
	}
	entry := nodes[2]
	time.Sleep(time.Until(started.Add(copyAge - 1500*time.Millisecond)))
	begin := time.Now()
	w.burst(entry, 1)
	time.Sleep(time.Until(begin.Add(700 * time.Millisecond)))
	if trouble {
		if err := w.drill(nodes, copyAge); err != nil {
			return false, err
		}
	}
	if err := entry.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begin.Add(3500 * time.Millisecond)))
	w.burst(entry, 2)
	return w.checkQuota(nodes), nil
}

// drill takes the store away, kills all processes and brings both back.
func (w *world) drill(nodes []*node, age time.Duration) error {
	w.store.setDown(true)
	copied := time.Now().Add(-age)
	w.note("platform: the store is away, all processes are killed")
	for _, n := range nodes {
		_ = n.process.Signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		for !n.hasExited() {
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(200 * time.Millisecond)
	lost := w.store.restore(copied)
	w.note("platform: the store is back from a copy %s old, which lacks %d rows; the operator writes its own again", age, lost)
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) burst(n *node, number int) {
	var mu sync.Mutex
	statuses := map[int]int{}
	var all sync.WaitGroup
	for range burstRequests {
		all.Go(func() {
			status := n.ask()
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(2 * time.Millisecond)
	}
	all.Wait()
	w.note("clients: burst %d of tenant-a at %s, answers by status (0: none): %v", number, n.id, statuses)
}

// ask sends a request of tenant-a on a connection of its own and returns the status, 0 if there is none.
func (n *node) ask() int {
	c, err := dial(n.outbound)
	if err != nil {
		return 0
	}
	defer c.conn.Close()
	if c.send(head(http.MethodGet, "/leny950/2f", newAttempt()+quotaMark, keyA, 3*time.Second, "")) != nil {
		return 0
	}
	status, err := c.readWhole(4 * time.Second)
	if err != nil {
		return 0
	}
	return status
}

// quotaMark ends the IDs of tenant-a's requests.
const quotaMark = "a"

// checkQuota reports whether no window has more runs of tenant-a than QUOTA allows.
func (w *world) checkQuota(nodes []*node) bool {
	var at []time.Time
	for _, n := range nodes {
		n.endpoint.mu.Lock()
		for _, r := range n.endpoint.runs {
			if len(r.attempt) == len(newAttempt()+quotaMark) {
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
