package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["refusal-again"] = scenario{[]string{"orders", "grades", "stock"}, playRefusalAgain}
}

// playRefusalAgain: the endpoints of one service reject part of their requests (503 with Not-Executed),
// and part of their answers is sent a second time, late, on the same connection. A node that sends a
// rejected request once more on that connection takes the copy of the first rejection for the answer to
// the second sending, which runs.
func playRefusalAgain(f *fleet, trouble bool) (int, error) {
	const (
		host        = "orders.example"
		key         = "key-of-tenant-one-0001"
		shedShare   = 0.12
		copyShare   = 0.03
		traffic     = 85 * time.Second
		ordersPerS  = 40
		readsPerS   = 60
		deadline    = 6 * time.Second
		copyDelayMs = 40
	)
	f.configure(5, []route{
		{name: "order", host: host, prefix: "/order/", kind: "unsafe", service: "orders", timeoutMs: 6000, attempts: 3},
		{name: "ledger", host: host, prefix: "/ledger/", kind: "safe", service: "orders", timeoutMs: 3000, attempts: 3},
	}, []tenant{{"t1", []string{key}, 1000, 1000}})

	stop := make(chan struct{})
	var orders []*endpoint
	for i, m := range f.nodes {
		isFaulty := i == 0 // One of three endpoints: a share of 0.33.
		e, err := startEndpoint(m, fmt.Sprintf("i-%s", m.name), 96, func(e *endpoint, r *request, w io.Writer) {
			var sent []byte
			if rand.Float64() < shedShare {
				e.rec.printf("%s: rejects %s", e.id, r.attempt)
				sent = e.answer(w, r, http.StatusServiceUnavailable, "", "Not-Executed: 1")
			} else {
				work := 15 * time.Millisecond
				if r.Method == http.MethodPost {
					work = time.Duration(60+rand.IntN(120)) * time.Millisecond
				}
				e.run(r, work)
				sent = e.answer(w, r, http.StatusOK, "done "+r.attempt, "Response-Seal: seal-"+r.attempt)
			}
			if trouble && isFaulty && rand.Float64() < copyShare {
				delay := time.Duration(1+rand.IntN(copyDelayMs)) * time.Millisecond
				time.AfterFunc(delay, func() {
					e.rec.printf("%s: the answer to %s once more, %d ms late", e.id, r.attempt, delay.Milliseconds())
					_, _ = w.Write(sent)
				})
			}
		})
		if err != nil {
			return 0, err
		}
		defer e.close()
		if m.service == "orders" {
			orders = append(orders, e)
		}
		go e.beat(stop)
	}
	defer close(stop)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	sent, answered := map[string]bool{}, map[string]int{}
	var wg sync.WaitGroup
	end := time.Now().Add(traffic)
	load := func(perS int, method, path string) {
		tick := time.NewTicker(time.Second / time.Duration(perS))
		defer tick.Stop()
		for time.Now().Before(end) {
			<-tick.C
			wg.Go(func() {
				attempt := newAttempt()
				m := f.nodes[rand.IntN(len(f.nodes))]
				if method == http.MethodPost {
					mu.Lock()
					sent[attempt] = true
					mu.Unlock()
					f.rec.printf("client: sends %s %s%s at %s", method, path, attempt, m.name)
				}
				a := once(m.address(portOutbound), method, host, path+attempt, attempt, key, "order", deadline)
				if method == http.MethodPost {
					mu.Lock()
					answered[attempt] = a.status
					mu.Unlock()
					f.rec.printf("client: %s answered %d %v", attempt, a.status, a.err)
				}
			})
		}
	}
	wg.Go(func() { load(readsPerS, http.MethodGet, "/ledger/") })
	load(ordersPerS, http.MethodPost, "/order/")
	wg.Wait()
	time.Sleep(time.Second)

	served, twice, refused := 0, 0, 0
	for attempt := range sent {
		n := 0
		for _, e := range orders {
			e.mu.Lock()
			n += e.runs[attempt]
			e.mu.Unlock()
		}
		status := answered[attempt]
		if status == http.StatusOK {
			served++
		}
		if n > 1 {
			twice++
			f.rec.say("TWICE: %s ran %d times, answered %d", attempt, n, status)
		}
		if n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			f.rec.say("REFUSED: %s was answered %d and ran %d times", attempt, status, n)
		}
	}
	f.rec.say("%d unsafe requests, %d served, %d ran more than once, %d refused although they ran", len(sent), served, twice, refused)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}
