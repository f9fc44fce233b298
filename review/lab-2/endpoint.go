package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// slots is the number of requests that an endpoint runs at a time.
const slots = 64

// run is a request that an endpoint ran.
type run struct {
	attempt, method, target, body, tenant string
	at                                    time.Duration
	endpoint                              string
	// answered is set once the whole answer was handed to the connection.
	answered bool
}

// endpoint plays an application endpoint that keeps to the pages.
type endpoint struct {
	n        *node
	id       string
	bornMs   int64
	listener net.Listener
	stop     context.CancelFunc
	sequence atomic.Uint64
	running  atomic.Int64
	// work returns how long a request runs and the length of its answer's body.
	work atomic.Pointer[func(target string) (time.Duration, int)]

	mu    sync.Mutex
	runs  []*run
	conns map[net.Conn]bool
}

func startEndpoint(n *node, id string) (*endpoint, error) {
	listener, err := net.Listen("tcp", n.address(portApp))
	if err != nil {
		return nil, err
	}
	e := &endpoint{n: n, id: id, bornMs: time.Now().UnixMilli(), listener: listener, conns: map[net.Conn]bool{}}
	e.setWork(func(string) (time.Duration, int) { return 5 * time.Millisecond, 200 })
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.accept()
	go e.announce(ctx)
	return e, nil
}

func (e *endpoint) setWork(f func(target string) (time.Duration, int)) { e.work.Store(&f) }

func (e *endpoint) close() {
	e.stop()
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// announce sends a heartbeat to the control address of the endpoint's machine at the interval.
func (e *endpoint) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeat
		if !e.beat(ctx, "ready") {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (e *endpoint) beat(ctx context.Context, state string) bool {
	body, err := json.Marshal(map[string]any{
		"address": e.n.address(portApp),
		"info":    map[string]any{"service": e.n.service, "version": "v1", "zone": e.n.zone, "slots": slots},
		"status":  map[string]any{"state": state, "sequence": e.sequence.Add(1), "coldRemainingMs": 0},
		"born":    e.bornMs,
	})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.n.address(portControl)+"/comfreycart/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serve(c)
			_ = c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

// serve serves the requests of a connection one after the other.
func (e *endpoint) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.Peek(1)
		if err != nil || len(line) == 0 {
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !e.serveOne(c, req, string(body)) {
			return
		}
	}
}

func (e *endpoint) serveOne(c net.Conn, req *http.Request, body string) (keep bool) {
	attempt := req.Header.Get("Attempt-Id")
	head := func(status int, lines string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sServer-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
			status, http.StatusText(status), lines, e.running.Load(), slots, length)
	}
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch want := req.Header.Get("Expected-Instance"); {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		return write(head(200, "Instance-Id: "+e.id+"\r\n", 0))
	case attempt == "":
		return write(head(400, "Not-Executed: 1\r\n", 0))
	case want != "" && want != e.id:
		return write(head(421, "Attempt-Id: "+attempt+"\r\nInstance-Id: "+e.id+"\r\n", 0))
	case e.running.Load() >= slots:
		return write(head(503, "Attempt-Id: "+attempt+"\r\nNot-Executed: 1\r\n", 0))
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	r := &run{attempt: attempt, method: req.Method, target: req.RequestURI, body: body, tenant: req.Header.Get("Tenant"), at: e.n.w.now(), endpoint: e.id}
	e.mu.Lock()
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	duration, length := (*e.work.Load())(req.RequestURI)
	time.Sleep(duration)
	answer := answerBody(attempt, length)
	if !write(head(200, "Attempt-Id: "+attempt+"\r\nResponse-Seal: seal."+e.id+"\r\n", len(answer)) + answer) {
		return false
	}
	e.mu.Lock()
	r.answered = true
	e.mu.Unlock()
	return true
}

// answerBody returns the body of the answer to an attempt.
func answerBody(attempt string, length int) string {
	unit := "answer to " + attempt + ". "
	return strings.Repeat(unit, length/len(unit)+1)[:length]
}

// allRuns returns the runs at all endpoints.
func (w *world) allRuns() []run {
	var all []run
	for _, n := range w.nodes {
		n.endpoint.mu.Lock()
		for _, r := range n.endpoint.runs {
			all = append(all, *r)
		}
		n.endpoint.mu.Unlock()
	}
	return all
}

// runsOf returns the runs of an attempt.
func (w *world) runsOf(attempt string) []run {
	var out []run
	for _, r := range w.allRuns() {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}
