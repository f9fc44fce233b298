package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["left-again"] = scenario{[]string{"orders", "orders", "grades"}, playLeftAgain}
}

// playLeftAgain: an endpoint leaves with DELETE, which the node beside it acknowledges. Then that node is
// killed and started again. A heartbeat that the endpoint sent before its departure arrives late.
func playLeftAgain(f *fleet, trouble bool) (int, error) {
	const (
		host         = "orders.example"
		key          = "key-of-tenant-one-0001"
		deadline     = 2500 * time.Millisecond
		restartDelay = time.Second
		stays        = 10 * time.Second
	)
	f.configure(5, []route{
		{name: "order", host: host, prefix: "/order/", kind: "unsafe", service: "orders", timeoutMs: 2500, attempts: 2},
	}, []tenant{{"t1", []string{key}, 1000, 1000}})

	type arrival struct {
		attempt string
		at      time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	stop := make(chan struct{})
	defer close(stop)
	stopBeats := make(chan struct{})
	var leaving *endpoint
	for i, m := range f.nodes {
		e, err := startEndpoint(m, "i-"+m.name, 96, func(e *endpoint, r *request, w io.Writer) {
			if e == leaving {
				mu.Lock()
				arrivals = append(arrivals, arrival{r.attempt, time.Now()})
				mu.Unlock()
			}
			e.run(r, 250*time.Millisecond)
			e.answer(w, r, http.StatusOK, "done "+r.attempt, "Response-Seal: seal-"+r.attempt)
		})
		if err != nil {
			return 0, err
		}
		defer e.close()
		if i == 0 {
			leaving = e
			go e.beat(stopBeats)
		} else {
			go e.beat(stop)
		}
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	sentAt := map[string]time.Time{}
	served := 0
	var wg sync.WaitGroup
	end := time.Now().Add(15 * time.Second)
	for _, m := range f.nodes[1:] {
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(150 * time.Millisecond)
				attempt := newAttempt()
				mu.Lock()
				sentAt[attempt] = time.Now()
				mu.Unlock()
				a := once(m.address(portOutbound), http.MethodPost, host, "/order/"+attempt, attempt, key, "order", deadline)
				f.rec.printf("client at %s: %s answered %d %v", m.name, attempt, a.status, a.err)
				mu.Lock()
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)

	// The last heartbeat before the departure. It is on its way until it is delivered below.
	close(stopBeats)
	time.Sleep(heartbeat)
	late := leaving.heartbeatBody("ready")
	f.rec.printf("%s: sends the heartbeat %s", leaving.id, late)
	if !trouble {
		leaving.tell(http.MethodPut, late)
	}
	time.Sleep(200 * time.Millisecond)
	leaving.leaveWhenIdle()
	if !leaving.tell(http.MethodDelete, nil) {
		return 0, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	f.rec.say("the departure of %s is acknowledged", leaving.id)
	inTouch := time.Now()
	if trouble {
		time.Sleep(300 * time.Millisecond)
		node := leaving.m
		node.kill()
		time.Sleep(restartDelay)
		if err := node.start(); err != nil {
			return 0, err
		}
		inTouch = time.Now().Add(contact)
		time.Sleep(contact + 500*time.Millisecond)
		f.rec.say("the heartbeat arrives %.1f s late", time.Since(acknowledged).Seconds()+0.2)
		leaving.tell(http.MethodPut, late)
	}
	wg.Wait()
	if time.Since(acknowledged) > stays+2*time.Second {
		f.rec.printf("%s: ends", leaving.id)
	}

	bad := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		if a.at.Sub(acknowledged) > drain && sentAt[a.attempt].After(inTouch) {
			bad++
			f.rec.say("DRAIN: %s, sent %.2f s after the acknowledgement, reaches %s %.2f s after it", a.attempt,
				sentAt[a.attempt].Sub(acknowledged).Seconds(), leaving.id, a.at.Sub(acknowledged).Seconds())
		}
	}
	f.rec.say("%d requests served, %d reached the endpoint that had left, more than %s after the acknowledgement", served, bad, drain)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}
