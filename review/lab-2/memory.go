package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryExceeded }

// Figures of memoryExceeded.
const (
	// maxBodyBytes is the operator's limit on a request's body, in force.
	maxBodyBytes = 64 << 20
	// uploaders is the number of clients a machine that upload at the same time.
	uploaders   = 4
	uploadPause = 300 * time.Millisecond
	uploadTime  = 70 * time.Second
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	memoryCheck  = 10 * time.Millisecond
	// allowedEnds is one less than the number of ends that count.
	allowedEnds = 2
)

// memoryExceeded: clients upload files of all sizes up to the operator's limit. The platform kills a
// process whose anonymous memory exceeds memoryMb and starts it again. Without the disruption there is
// one client a machine, with files up to an eighth of the limit.
func memoryExceeded(w *world) (bool, error) {
	c := smallConfig()
	if err := w.start(c, []machine{{"zone-a", "web"}, {"zone-b", "web"}, {"zone-a", "orders"}, {"zone-b", "orders"}}); err != nil {
		return false, err
	}
	end := time.Now().Add(uploadTime)
	ends := make([]int, len(w.nodes))
	most := make([]int, len(w.nodes))
	var platform, clients sync.WaitGroup
	for i, n := range w.nodes {
		platform.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(memoryCheck)
				mb := n.residentMb()
				most[i] = max(most[i], mb)
				if mb <= memoryMb {
					continue
				}
				ends[i]++
				w.logf("%s: %d MiB in use, %d allowed: killed by the platform", n.name, mb, memoryMb)
				n.kill()
				time.Sleep(restartDelay)
				if err := n.start(); err != nil {
					w.logf("%s: %v", n.name, err)
					return
				}
			}
		})
	}
	full := strings.Repeat("0123456789abcdef", maxBodyBytes/16)
	count, largest := uploaders, maxBodyBytes
	if !w.trouble {
		count, largest = 1, maxBodyBytes/8
	}
	var served, refused, lost atomic.Int64
	for _, n := range w.nodes[:2] {
		for range count {
			clients.Go(func() {
				for time.Now().Before(end) {
					// The square makes small files more frequent than large ones.
					x := rand.Float64()
					r := &request{method: "POST", host: "shop.example", path: "/order/file", key: "key-of-t1", body: full[:1+int(x*x*float64(largest-1))], deadline: 10 * time.Second}
					a := n.send(r)
					pause := uploadPause
					switch {
					case a.err == nil && a.status == 200:
						served.Add(1)
					case a.err == nil && (a.status == 503 || a.status == 429):
						refused.Add(1)
						pause += a.retryAfter
					default:
						if runs := w.runsOf(r.id); len(runs) > 0 {
							lost.Add(1)
							w.logf("%s: %s with %d bytes ran at an endpoint and got %v", n.name, r.id, len(r.body), a)
						}
					}
					w.forgetBodies()
					time.Sleep(pause)
				}
			})
		}
	}
	clients.Wait()
	platform.Wait()
	w.logf("uploads: %d served, %d refused as not run, %d ran and got no success", served.Load(), refused.Load(), lost.Load())
	machines := 0
	for i, n := range w.nodes {
		w.logf("%s: killed %d times, at most %d MiB in use", n.name, ends[i], most[i])
		if ends[i] > allowedEnds {
			machines++
		}
	}
	w.logf("machines whose process ended by itself three times: %d, allowed %s", machines, fmt.Sprint(1))
	return machines >= 2, nil
}

// forgetBodies drops the bodies of the requests that ran, which nobody reads.
func (w *world) forgetBodies() {
	for _, n := range w.nodes {
		n.endpoint.mu.Lock()
		for _, r := range n.endpoint.runs {
			r.body = ""
		}
		n.endpoint.mu.Unlock()
	}
}
