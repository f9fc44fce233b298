package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// headsClients are the clients of the largest zone of the site, 39, in a burst of 1.7 times as many.
	headsClients = 66
	// headsEndpoints is the number of endpoints of the service, each on a machine of its own.
	headsEndpoints = 8
	// headsDepth requests of a client are outstanding on its connection.
	headsDepth = 30
	// headsWorkMs is how long an endpoint works on a request.
	headsWorkMs = 1500
	// headsBytes is the size of the fields that a request has with trouble; maxHeaderBytes is 16,384.
	headsBytes = 15500
	headsTime  = 10 * time.Second
	// keptClients send one ordinary request after the other on a kept connection each.
	keptClients = 10
	// refusedPause is how long a client waits after a refusal.
	refusedPause = time.Second
	// maxLost is the bound of LOST.
	maxLost = 3
)

// playHeads has many clients press at one machine whose requests are run at others. With trouble
// their requests have as many header fields as the configuration's limit allows.
func playHeads(w *world, trouble bool) (bool, error) {
	if err := w.configure(basicConfig("/leny950/", "huvo11a")); err != nil {
		return false, err
	}
	entry, err := w.addNode("n1", "wuno96b")
	if err != nil {
		return false, err
	}
	nodes := []*node{entry}
	for i := range headsEndpoints {
		n, err := w.addNode(fmt.Sprintf("n%d", i+2), "huvo11a")
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
			return false, err
		}
	}
	// In touch: all is calm for more than contactMs.
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), headsTime)
	defer cancel()
	var guards sync.WaitGroup
	peaks := make([]float64, len(nodes))
	for i, n := range nodes {
		guards.Go(func() { peaks[i] = w.guardMemory(ctx, n) })
	}
	var kept, pressing counts
	var clients sync.WaitGroup
	for range keptClients {
		clients.Go(func() { w.keptClient(ctx, entry, nodes, &kept) })
	}
	time.Sleep(time.Second)
	fields := ""
	if trouble {
		fields = manyFields(headsBytes)
	}
	for range headsClients {
		clients.Go(func() { w.pressingClient(ctx, entry, nodes, fields, &pressing) })
	}
	clients.Wait()
	guards.Wait()
	w.note("platform: the processes held %.0f MiB at most, %d allowed", peaks, memoryMb)
	w.note("pressing clients, with %d bytes of further fields a request: %s", len(fields), &pressing)
	w.note("clients with one ordinary request after the other: %s", &kept)
	lost := pressing.lost.Load() + kept.lost.Load()
	w.note("%d requests of kept connections ran and got no answer; LOST allows %d", lost, maxLost)
	return lost <= maxLost, nil
}

// counts are what became of the requests of some clients.
type counts struct{ served, refused, lost atomic.Int64 }

// String implements fmt.Stringer.
func (c *counts) String() string {
	return fmt.Sprintf("%d served, %d refused or failed, %d ran and got no answer", c.served.Load(), c.refused.Load(), c.lost.Load())
}

// manyFields returns header fields of about size bytes in all.
func manyFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "X%d: %d\r\n", i, i%10)
	}
	return fields.String()
}

// guardMemory stands in for the platform: it kills a process that holds more than memoryMb. It returns the
// most that the process held, in MiB.
func (w *world) guardMemory(ctx context.Context, n *node) (peak float64) {
	for ctx.Err() == nil && !n.hasExited() {
		mb := residentMb(n.process.Pid)
		peak = max(peak, mb)
		if mb > memoryMb {
			w.note("platform: %s holds %.0f MiB of %d and is killed", n.id, mb, memoryMb)
			_ = n.process.Signal(syscall.SIGKILL)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return peak
}

// residentMb returns the memory that a process holds, in MiB, 0 if it has ended.
func residentMb(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// pressingClient keeps headsDepth safe requests outstanding on a connection, until that ends or ctx does.
// It counts the requests that an endpoint ran and whose connection ended without an answer.
func (w *world) pressingClient(ctx context.Context, n *node, nodes []*node, fields string, c *counts) {
	conn, err := dial(n.outbound)
	if err != nil {
		return
	}
	defer conn.conn.Close()
	target := "/leny950/2f?work=" + strconv.Itoa(headsWorkMs)
	for ctx.Err() == nil {
		var text strings.Builder
		var attempts []string
		for range headsDepth {
			attempts = append(attempts, newAttempt())
			text.WriteString(head(http.MethodGet, target, attempts[len(attempts)-1], keyA, 8*time.Second, fields))
		}
		go func() { _ = conn.send(text.String()) }()
		wasRefused := false
		for i := range attempts {
			status, err := conn.readWhole(9 * time.Second)
			if err != nil {
				lost := ranAt(nodes, attempts[i:])
				w.note("client: its connection ended after %d of %d answers: %v; %d of the other requests had run", i, headsDepth, err, lost)
				c.lost.Add(int64(lost))
				return
			}
			if status == http.StatusOK {
				c.served.Add(1)
			} else {
				c.refused.Add(1)
				wasRefused = true
			}
		}
		if wasRefused {
			time.Sleep(refusedPause)
		}
	}
}

// ranAt returns how many of the attempts endpoints have run.
func ranAt(nodes []*node, attempts []string) int {
	ran := 0
	for _, attempt := range attempts {
		for _, n := range nodes {
			ran += len(n.endpoint.runsOf(attempt))
		}
	}
	return ran
}

// keptClient sends one ordinary safe request after the other on a kept connection, until that ends or ctx
// does.
func (w *world) keptClient(ctx context.Context, n *node, nodes []*node, c *counts) {
	conn, err := dial(n.outbound)
	if err != nil {
		return
	}
	defer conn.conn.Close()
	for ctx.Err() == nil {
		attempt := newAttempt()
		if conn.send(head(http.MethodGet, "/leny950/2f?work=160", attempt, keyB, 5*time.Second, "")) != nil {
			return
		}
		status, err := conn.readWhole(6 * time.Second)
		switch {
		case err != nil:
			c.lost.Add(int64(ranAt(nodes, []string{attempt})))
			return
		case status == http.StatusOK:
			c.served.Add(1)
		default:
			c.refused.Add(1)
			time.Sleep(refusedPause)
		}
	}
}
