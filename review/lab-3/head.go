package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playHead has clients of one tenant send HEAD requests on kept connections, each followed by a GET of
// another tenant once the HEAD is answered. Usually the first tenant sends half of what its quota allows;
// with trouble it sends many times its usual. An answer to HEAD has no body: what follows its head on the
// connection belongs to the next answer.
func playHead(w *world, trouble bool) (bool, error) {
	const ratePerS, burst = 20, 20
	if err := w.configure(basicConfig("/leny950/", "huvo11a", ratePerS, burst)); err != nil {
		return false, err
	}
	n, err := w.addNode("n1", "huvo11a")
	if err != nil {
		return false, err
	}
	if err := n.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	const clients, usualPerS, hotTimes = 10, 10, 7.5
	perS := float64(usualPerS)
	if trouble {
		perS *= hotTimes
	}
	var broken, failed atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for i := range clients {
		all.Go(func() {
			pause := time.Duration(float64(clients) / perS * float64(time.Second))
			time.Sleep(pause * time.Duration(i) / clients)
			for time.Now().Before(end) {
				next := time.Now().Add(pause)
				held, err := w.headThenGet(n)
				if err != nil {
					w.note("client: %v", err)
					failed.Add(1)
				} else if !held {
					broken.Add(1)
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	all.Wait()
	w.note("clients: %d connections with bytes that are no answer, %d failed otherwise", broken.Load(), failed.Load())
	return broken.Load() == 0, nil
}

// headThenGet sends a HEAD and then a GET on a connection and reports whether the client got an answer to
// each that it can read.
func (w *world) headThenGet(n *node) (bool, error) {
	c, err := dial(n.outbound)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	const within = 5 * time.Second
	first, second := newAttempt(), newAttempt()
	if err := c.send(head(http.MethodHead, "/leny950/2f", first, keyA, within, "")); err != nil {
		return false, err
	}
	answer, err := c.readHead(within)
	if err != nil {
		return false, err
	}
	if err := c.send(head(http.MethodGet, "/leny950/2f", second, keyB, within, "")); err != nil {
		return false, err
	}
	next, err := c.readHead(within)
	w.note("client: HEAD %s answered %q; GET %s behind it answered %q of %s; runs at the endpoint %d and %d",
		first, answer.line, second, next.line, next.header.Get("Attempt-Id"), len(n.endpoint.runsOf(first)), len(n.endpoint.runsOf(second)))
	if err != nil && next.line == "" {
		return false, err
	}
	return err == nil && next.header.Get("Attempt-Id") == second, nil
}
