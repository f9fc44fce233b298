package main

import (
	"io"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["stop-cuts-answer"] = stopCutsAnswer
	cases["stop-cuts-pipeline"] = stopCutsPipeline
}

// Figures of stopCutsAnswer.
const (
	stopReaders     = 4
	stopAnswerBytes = 8 << 20
	// stopChunk is read every stopInterval: 2 MiB a second, so that an answer takes 4 s.
	stopChunk    = 64 << 10
	stopInterval = 31250 * time.Microsecond
	stopBuffer   = 64 << 10
)

// stopCutsAnswer: a machine is stopped as planned while clients read answers that were begun after the
// SIGTERM and take some seconds to read.
func stopCutsAnswer(w *world) (bool, error) {
	if err := w.start(smallConfig(), smallDeployment("orders")); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		n.endpoint.setWork(func(target string) (time.Duration, int) {
			if strings.Contains(target, "report") {
				return 200 * time.Millisecond, stopAnswerBytes
			}
			return 5 * time.Millisecond, 200
		})
	}
	time.Sleep(4 * time.Second)
	n := w.nodes[0]
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if w.trouble {
			n.stop()
		}
	}()
	time.Sleep(500 * time.Millisecond)
	termAgo := func() float64 { return 0 }
	if w.trouble {
		at := time.Now().Add(-500 * time.Millisecond)
		termAgo = func() float64 { return time.Since(at).Seconds() }
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range stopReaders {
		wg.Go(func() {
			c, err := n.dial(stopBuffer)
			if err != nil {
				w.logf("client %d: %v", i, err)
				return
			}
			defer c.close()
			r := &request{method: "POST", host: "shop.example", path: "/order/report", key: "key-of-t1", body: "order", deadline: 30 * time.Second}
			text := r.text()
			w.logf("client %d: %s %s %s sent %.1f s after SIGTERM", i, r.id, r.method, r.path, termAgo())
			if err := c.write(text); err != nil {
				w.logf("client %d: %v", i, err)
				return
			}
			begin := time.Now()
			got := 0
			a := c.read(r.method, func(body io.Reader, length int64) (string, error) {
				text, err := steadyReader(stopChunk, stopInterval)(body, length)
				got = len(text)
				return text, err
			})
			runs := w.runsOf(r.id)
			ran := len(runs) > 0
			w.logf("client %d: %s after %.1f s, %.1f s after SIGTERM: %v; %d of %d bytes; ran at an endpoint: %t", i, r.id, time.Since(begin).Seconds(), termAgo(), a, got, stopAnswerBytes, ran)
			if a.err != nil && ran {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	<-stopped
	w.logf("requests that were read and passed on, and whose connection ended without a whole answer: %d, allowed 0", lost)
	return lost > 0, nil
}

// Figures of stopCutsPipeline.
const (
	pipelineClients = 4
	// pipelineDepth is the number of requests that a client has outstanding.
	pipelineDepth = 2
	// pipelineWork is how long an endpoint runs each request.
	pipelineWork = 300 * time.Millisecond
	// pipelineTime is how long clients send after the SIGTERM; it is longer than the grace time.
	pipelineTime = 8 * time.Second
)

// stopCutsPipeline: a machine is stopped as planned while clients on kept connections send a further safe
// request before the one before it is answered. The machine is the only one of its zone, so that its
// clients go on.
func stopCutsPipeline(w *world) (bool, error) {
	if err := w.start(smallConfig(), smallDeployment("orders")); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		n.endpoint.setWork(func(target string) (time.Duration, int) {
			if strings.Contains(target, "warm") {
				return 5 * time.Millisecond, 200
			}
			return pipelineWork, 200
		})
	}
	n := w.nodes[0]
	var termAt time.Time
	if w.trouble {
		go func() {
			time.Sleep(3 * time.Second)
			n.stop()
		}()
		termAt = time.Now().Add(3 * time.Second)
	}
	end := time.Now().Add(3*time.Second + pipelineTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	for i := range pipelineClients {
		wg.Go(func() {
			c, err := n.dial(0)
			if err != nil {
				w.logf("client %d: %v", i, err)
				return
			}
			defer c.close()
			type sent struct {
				r  *request
				at time.Time
			}
			var outstanding []sent
			push := func() {
				r := &request{method: "GET", host: "shop.example", path: "/read/list", key: "key-of-t1", deadline: 5 * time.Second}
				text := r.text()
				outstanding = append(outstanding, sent{r, time.Now()})
				_ = c.write(text)
			}
			for range pipelineDepth {
				push()
				time.Sleep(pipelineWork / pipelineDepth)
			}
			for len(outstanding) > 0 {
				_ = c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
				a := c.read("GET", nil)
				if a.err != nil {
					for _, s := range outstanding {
						runs := w.runsOf(s.r.id)
						w.logf("client %d: %s sent %.1f s after SIGTERM: connection ended without its answer (%v) %.1f s after SIGTERM; passed on to an endpoint: %t",
							i, s.r.id, s.at.Sub(termAt).Seconds(), a.err, time.Since(termAt).Seconds(), len(runs) > 0)
						if len(runs) > 0 && s.at.Sub(termAt) > 3*time.Second {
							mu.Lock()
							lost++
							mu.Unlock()
						}
					}
					return
				}
				mu.Lock()
				answered++
				mu.Unlock()
				outstanding = outstanding[1:]
				if a.closes {
					w.logf("client %d: the answer closes the connection, %d requests behind it", i, len(outstanding))
					return
				}
				if time.Now().Before(end) {
					push()
				}
			}
			w.logf("client %d: done", i)
		})
	}
	wg.Wait()
	w.logf("answered: %d", answered)
	w.logf("requests sent later than 3 s after the SIGTERM, passed on, and cut off without an answer: %d, allowed 0", lost)
	return lost > 0, nil
}
