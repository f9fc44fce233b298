package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() {
	services := []string{"orders", "grades", "stock", "dispatch"}
	var machines []string
	for _, s := range services {
		machines = append(machines, s, s, s) // One in each zone.
	}
	cases["quota-rolled"] = scenario{machines, playQuotaRolled}
}

// playQuotaRolled: the machines of a zone are stopped and started again in turn. The node that keeps the
// zone's part of the tenants' quotas hands their state on when it stops. A tenant that was quiet while a
// node kept that part is missing from what this node hands on, and counts as one that never spent.
func playQuotaRolled(f *fleet, trouble bool) (int, error) {
	const (
		host     = "orders.example"
		key      = "key-of-tenant-one-0001"
		otherKey = "key-of-tenant-two-0002"
		rate     = 20.0
		burst    = 400.0
		gap      = 1300 * time.Millisecond
		window   = 5 * time.Second
		overage  = 0.1
		slack    = 20
		deadline = 2500 * time.Millisecond
	)
	f.configure(5, []route{
		{name: "order", host: host, prefix: "/order/", kind: "unsafe", service: "orders", timeoutMs: 2500, attempts: 2},
	}, []tenant{{"t1", []string{key}, rate, burst}, {"t2", []string{otherKey}, 100, 100}})

	type arrival struct {
		attempt string
		at      time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	sentAt := map[string]time.Time{}
	stop := make(chan struct{})
	defer close(stop)
	for _, m := range f.nodes {
		e, err := startEndpoint(m, "i-"+m.name, 96, func(e *endpoint, r *request, w io.Writer) {
			if r.Header.Get("Tenant") == "t1" {
				mu.Lock()
				arrivals = append(arrivals, arrival{r.attempt, time.Now()})
				mu.Unlock()
			}
			e.run(r, 5*time.Millisecond)
			e.answer(w, r, http.StatusOK, "done "+r.attempt, "Response-Seal: seal-"+r.attempt)
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
	time.Sleep(8 * time.Second)

	var wg sync.WaitGroup
	send := func(m *machine, key string) {
		attempt := newAttempt()
		mu.Lock()
		sentAt[attempt] = time.Now()
		mu.Unlock()
		a := once(m.address(portOutbound), http.MethodPost, host, "/order/"+attempt, attempt, key, "order", deadline)
		f.rec.printf("client at %s: %s of the tenant with %s answered %d %v", m.name, attempt, key, a.status, a.err)
	}
	// burstOf sends perS requests a second of the first tenant at a node for a time.
	burstOf := func(m *machine, perS int, length time.Duration) {
		tick := time.NewTicker(time.Second / time.Duration(perS))
		defer tick.Stop()
		for end := time.Now().Add(length); time.Now().Before(end); {
			<-tick.C
			wg.Go(func() { send(m, key) })
		}
	}
	zoneA := []*machine{f.nodes[0], f.nodes[3], f.nodes[6], f.nodes[9]}
	// The other tenant sends a steady few requests at the last machine of the zone.
	quiet := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-quiet:
				return
			case <-time.After(40 * time.Millisecond):
				wg.Go(func() { send(zoneA[3], otherKey) })
			}
		}
	})
	time.Sleep(time.Second)

	f.rec.say("the tenant spends its burst")
	var first sync.WaitGroup
	for _, m := range []*machine{f.nodes[9], f.nodes[10], f.nodes[11]} {
		first.Go(func() { burstOf(m, 220, time.Second) })
	}
	first.Wait()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		for _, m := range zoneA[:2] { // In the order of their start.
			m.signal(syscall.SIGTERM)
			wg.Go(func() {
				<-m.exited
				time.Sleep(500 * time.Millisecond)
				if err := m.start(); err != nil {
					f.rec.printf("%s: %v", m.name, err)
				}
			})
			time.Sleep(gap)
		}
	} else {
		time.Sleep(2 * gap)
	}
	f.rec.say("the tenant sends again")
	for _, m := range []*machine{f.nodes[9], f.nodes[10], f.nodes[11]} {
		first.Go(func() { burstOf(m, 150, 1200*time.Millisecond) })
	}
	first.Wait()
	close(quiet)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	limit := (rate*window.Seconds()+burst)*(1+overage) + slack
	most, when := 0, time.Duration(0)
	for _, from := range arrivals {
		begin := sentAt[from.attempt]
		n := 0
		for _, a := range arrivals {
			if s := sentAt[a.attempt]; !s.Before(begin) && a.at.Sub(begin) <= window {
				n++
			}
		}
		if n > most {
			most, when = n, begin.Sub(f.rec.start)
		}
	}
	f.rec.say("most requests of the tenant in %s: %d, from %.2f s on; the quota allows %.0f", window, most, when.Seconds(), limit)
	if most == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	if float64(most) > limit {
		f.rec.say("QUOTA: %d requests of t1 were sent and arrived within %s", most, window)
		return broken, nil
	}
	return held, nil
}
