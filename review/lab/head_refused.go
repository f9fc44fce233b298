package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["head-refused"] = scenario{[]string{"stock", "grades", "orders"}, playHeadRefused}
}

// playHeadRefused: a tenant sends many times its usual, so that some of its requests are refused with
// 429. A refusal of a HEAD request must have no body; a body is read as the beginning of the next answer
// on the connection.
func playHeadRefused(f *fleet, trouble bool) (int, error) {
	const (
		host     = "stock.example"
		key      = "key-of-tenant-one-0001"
		usualPer = 8
		hotTimes = 7
		length   = 6 * time.Second
		deadline = 2500 * time.Millisecond
	)
	f.configure(5, []route{
		{name: "stock", host: host, prefix: "/stock/", kind: "safe", service: "stock", timeoutMs: 2500, attempts: 2},
	}, []tenant{{"t1", []string{key}, 13, 13}})

	stop := make(chan struct{})
	defer close(stop)
	var mu sync.Mutex
	ran := map[string]bool{}
	for _, m := range f.nodes {
		e, err := startEndpoint(m, "i-"+m.name, 96, func(e *endpoint, r *request, w io.Writer) {
			e.run(r, 20*time.Millisecond)
			mu.Lock()
			ran[r.attempt] = true
			mu.Unlock()
			e.answer(w, r, http.StatusOK, "answer to "+r.attempt, "Response-Seal: seal-"+r.attempt)
		})
		if err != nil {
			return 0, err
		}
		defer e.close()
		go e.beat(stop)
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)

	perS := usualPer
	if trouble {
		perS *= hotTimes
	}
	var served, refused, bad, lost int
	// Each client keeps a connection and sends HEAD and GET by turns, the next after the answer before.
	client := func(m *machine, gap time.Duration) {
		var c *clientConn
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			time.Sleep(gap)
			var err error
			if c == nil {
				if c, err = dialClient(m.address(portOutbound)); err != nil {
					f.rec.printf("client: %v", err)
					continue
				}
			}
			method, attempt := []string{http.MethodHead, http.MethodGet}[i%2], newAttempt()
			f.rec.printf("client at %s: sends %s %s", m.name, method, attempt)
			err = c.send(method, host, "/stock/"+attempt, attempt, key, "", deadline)
			var a answer
			if err == nil {
				a = c.receive(method, deadline)
			} else {
				a.err = err
			}
			f.rec.printf("client at %s: %s %s answered %d %v", m.name, method, attempt, a.status, a.err)
			mu.Lock()
			switch {
			case a.err != nil:
				bad++
				if ran[attempt] {
					lost++
				}
				f.rec.say("MIXED: %s %s got bytes that are no answer: %v (run by an endpoint: %v)", method, attempt, a.err, ran[attempt])
			case a.status == http.StatusOK:
				served++
			default:
				refused++
			}
			mu.Unlock()
			if a.err != nil || a.header.Get("Connection") == "close" {
				_ = c.raw.Close()
				c = nil
			}
		}
	}
	var wg sync.WaitGroup
	for i := range 2 * len(f.nodes) {
		wg.Go(func() { client(f.nodes[i%len(f.nodes)], time.Second*time.Duration(2*len(f.nodes))/time.Duration(perS)) })
	}
	wg.Wait()
	f.rec.say("%d served, %d refused, %d got bytes that are no answer, of which %d had run", served, refused, bad, lost)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}
