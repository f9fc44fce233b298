package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["large-bodies"] = scenario{[]string{"orders", "orders", "orders", "grades", "grades", "grades"}, playLargeBodies}
}

// memoryMb is the memory of a machine of the small site; a process that exceeds it is killed.
const memoryMb = 284

// residentKB returns the resident memory of the machine's process in KiB, 0 if there is none.
func (m *machine) residentKB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.ended {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscanf(rest, "%d", &kb)
	return kb
}

// playLargeBodies: clients send bodies just below maxBodyBytes, each client one request at a time. The
// stand-in for the platform kills a process that holds more memory than its machine has.
func playLargeBodies(f *fleet, trouble bool) (int, error) {
	const (
		host     = "orders.example"
		key      = "key-of-tenant-one-0001"
		length   = 60 * time.Second
		deadline = 15 * time.Second
		poll     = 4 * time.Millisecond
	)
	f.configure(5, []route{
		{name: "order", host: host, prefix: "/order/", kind: "unsafe", service: "orders", timeoutMs: 15000, attempts: 2},
	}, []tenant{{"t1", []string{key}, 1000, 1000}})
	stop := make(chan struct{})
	for _, m := range f.nodes {
		e, err := startEndpoint(m, "i-"+m.name, 96, func(e *endpoint, r *request, w io.Writer) {
			e.run(r, 100*time.Millisecond)
			e.answer(w, r, http.StatusOK, fmt.Sprintf("%d bytes", len(r.body)), "Response-Seal: seal-"+r.attempt)
		})
		if err != nil {
			return 0, err
		}
		defer e.close()
		go e.beat(stop)
	}
	defer close(stop)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	ends := map[string]int{}
	var platform sync.WaitGroup
	stopPlatform := make(chan struct{})
	for _, m := range f.nodes {
		platform.Go(func() {
			for {
				select {
				case <-stopPlatform:
					return
				case <-time.After(poll):
				}
				kb := m.residentKB()
				if kb <= memoryMb<<10 {
					continue
				}
				f.rec.say("%s holds %d KiB, more than its %d MiB: the platform kills it", m.name, kb, memoryMb)
				m.signal(syscall.SIGKILL)
				<-m.exited
				mu.Lock()
				ends[m.name]++
				mu.Unlock()
				time.Sleep(time.Second)
				if err := m.start(); err != nil {
					f.rec.say("%s: %v", m.name, err)
					return
				}
			}
		})
	}
	bytes := 64 << 10
	if trouble {
		bytes = 63 << 20
	}
	body := strings.Repeat("b", bytes)
	served, refused, lost := 0, 0, 0
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for _, m := range f.nodes[3:] {
		clients.Go(func() {
			for time.Now().Before(end) {
				attempt := newAttempt()
				f.rec.printf("client at %s: sends %s with %d bytes", m.name, attempt, bytes)
				a := once(m.address(portOutbound), http.MethodPost, host, "/order/"+attempt, attempt, key, body, deadline)
				f.rec.printf("client at %s: %s answered %d %v %s", m.name, attempt, a.status, a.err, a.body)
				mu.Lock()
				switch a.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
				default:
					lost++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(stopPlatform)
	platform.Wait()
	machines := 0
	for name, n := range ends {
		f.rec.say("%s ended %d times", name, n)
		if n >= 3 {
			machines++
		}
	}
	f.rec.say("%d served, %d refused, %d without either", served, refused, lost)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	if machines >= 2 {
		f.rec.say("FAULT: on %d of %d machines the process ended by itself three times or more", machines, len(f.nodes))
		return broken, nil
	}
	return held, nil
}
