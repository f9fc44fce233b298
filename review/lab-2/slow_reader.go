package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

// smallDeployment is one service on three machines in three zones.
func smallDeployment(service string) []machine {
	return []machine{{"zone-a", service}, {"zone-b", service}, {"zone-c", service}}
}

func smallConfig() config {
	return config{
		Version: 3, Services: []string{"orders", "web"},
		Routes: []route{
			{"r-safe", "shop.example", "/read/", "safe", 30000, 2, "orders"},
			{"r-unsafe", "shop.example", "/order/", "unsafe", 30000, 2, "orders"},
		},
		Tenants: []tenant{{"t1", []string{"key-of-t1"}, 500, 500}},
	}
}

// Figures of the slow readers.
const (
	// slowReaders is the number of clients of each kind.
	slowReaders     = 5
	slowAnswerBytes = 256 << 10
	// slowChunk is read every slowInterval: 20 KiB a second, without a stop.
	slowChunk    = 4 << 10
	slowInterval = 200 * time.Millisecond
	// slowBuffer is the clients' receive buffer.
	slowBuffer = 16 << 10
	// allowedLosses is how many connections the rule lets a machine close without an answer.
	allowedLosses = 3
)

// slowReader: clients on kept connections read long answers slowly. One half sends unsafe requests. The
// other half sends a safe request and a further one behind it, whose answer comes after the long one.
func slowReader(w *world) (bool, error) {
	if err := w.start(smallConfig(), smallDeployment("orders")); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		n.endpoint.setWork(func(target string) (time.Duration, int) {
			if strings.Contains(target, "report") {
				return 100 * time.Millisecond, slowAnswerBytes
			}
			return 5 * time.Millisecond, 200
		})
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	cutUnsafe, unanswered := 0, 0
	for i := range 2 * slowReaders {
		wg.Go(func() {
			unsafe := i%2 == 0
			c, err := w.nodes[0].dial(slowBuffer)
			if err != nil {
				w.logf("client %d: %v", i, err)
				return
			}
			defer c.close()
			method, prefix := "GET", "/read/"
			if unsafe {
				method, prefix = "POST", "/order/"
			}
			exchange := func(names ...string) (lost []*request) {
				var text string
				var all []*request
				for _, name := range names {
					r := &request{method: method, host: "shop.example", path: prefix + name, key: "key-of-t1", deadline: 30 * time.Second}
					if unsafe {
						r.body = "order"
					}
					text += r.text()
					all = append(all, r)
				}
				sent := time.Now()
				if err := c.write(text); err != nil {
					w.logf("client %d: %v", i, err)
					return nil
				}
				for k, r := range all {
					w.logf("client %d: %s %s %s sent", i, r.id, r.method, r.path)
					pace := steadyReader(slowChunk, slowInterval)
					if !w.trouble {
						pace = nil
					}
					a := c.read(r.method, pace)
					w.logf("client %d: %s answered after %.1f s: %v; runs at endpoints: %d", i, r.id, time.Since(sent).Seconds(), a, len(w.runsOf(r.id)))
					if a.err != nil {
						return all[k:]
					}
				}
				return nil
			}
			if exchange("small") != nil {
				return
			}
			var lost []*request
			if unsafe {
				lost = exchange("report")
			} else {
				lost = exchange("report", "small")
			}
			mu.Lock()
			defer mu.Unlock()
			for k, r := range lost {
				runs := w.runsOf(r.id)
				switch wasRun := len(runs) > 0 && runs[0].answered; {
				case !wasRun:
				case unsafe:
					cutUnsafe++
				case k == len(lost)-1 && len(lost) == 2:
					unanswered++
				}
				w.logf("client %d: %s %s: connection closed without its whole answer, its endpoint had answered: %t", i, r.id, r.path, len(runs) > 0 && runs[0].answered)
			}
		})
	}
	wg.Wait()
	w.logf("unsafe requests that ran and whose answer was cut off: %d", cutUnsafe)
	w.logf("requests that ran, on kept connections that were closed without a byte of their answer: %d, allowed %d", unanswered, allowedLosses)
	return unanswered > allowedLosses, nil
}
