package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is a request as an endpoint reads it.
type request struct {
	*http.Request
	attempt string
	body    string
}

// endpoint is a stand-in for an application endpoint. It serves one request at a time on a connection
// and echoes the attempt's ID.
type endpoint struct {
	rec      *record
	m        *machine
	id       string
	slots    int
	born     time.Time
	listener net.Listener
	// serve handles a request; it writes the whole answer to w.
	serve func(e *endpoint, r *request, w io.Writer)

	mu       sync.Mutex
	sequence int
	leaving  bool
	running  int
	runs     map[string]int
	conns    map[net.Conn]bool
}

// startEndpoint starts the endpoint of a machine.
func startEndpoint(m *machine, id string, slots int, serve func(*endpoint, *request, io.Writer)) (*endpoint, error) {
	e := &endpoint{rec: m.f.rec, m: m, id: id, slots: slots, born: time.Now(), serve: serve, runs: map[string]int{}, conns: map[net.Conn]bool{}}
	var err error
	if e.listener, err = net.Listen("tcp", m.address(portApp)); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serveConn(c)
		}
	}()
	return e, nil
}

// close ends the endpoint.
func (e *endpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// lockedConn lets a late copy of an answer be written beside other answers.
type lockedConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *lockedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Conn.Write(b)
}

func (e *endpoint) serveConn(raw net.Conn) {
	defer raw.Close()
	c := &lockedConn{Conn: raw}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &request{r, r.Header.Get("Attempt-Id"), string(body)}
		switch want := r.Header.Get("Expected-Instance"); {
		case r.URL.Path == "/health":
			e.answerHealth(c)
		case want != "" && want != e.id:
			e.rec.printf("%s: %s is for %s, 421", e.id, req.attempt, want)
			e.answer(c, req, http.StatusMisdirectedRequest, "", "Instance-Id: "+e.id)
		default:
			e.serve(e, req, c)
		}
	}
}

// load is the value of the header Server-Load.
func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", e.running, e.slots)
}

func (e *endpoint) answerHealth(c net.Conn) {
	status := http.StatusOK
	if e.isLeaving() {
		status = http.StatusServiceUnavailable
	}
	e.rec.printf("%s: health %d", e.id, status)
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), e.id, e.load())
}

func (e *endpoint) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// run records that the endpoint begins to work on a request, and works on it.
func (e *endpoint) run(r *request, work time.Duration) {
	e.mu.Lock()
	e.running++
	e.runs[r.attempt]++
	n := e.runs[r.attempt]
	e.mu.Unlock()
	e.rec.printf("%s: runs %s (%s %s), run %d here", e.id, r.attempt, r.Method, r.RequestURI, n)
	time.Sleep(work)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

// answer writes a complete answer with further header lines and returns its bytes.
func (e *endpoint) answer(w io.Writer, r *request, status int, body string, lines ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), r.attempt, e.load())
	if e.isLeaving() {
		out.WriteString("Server-Leaving: 1\r\n")
	}
	for _, line := range lines {
		out.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	if r.Method != http.MethodHead {
		out.WriteString(body)
	}
	_, _ = w.Write(out.Bytes())
	return out.Bytes()
}

// heartbeatBody returns the next heartbeat of the endpoint.
func (e *endpoint) heartbeatBody(state string) []byte {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": e.m.address(portApp),
		"info":    map[string]any{"service": e.m.service, "version": "v1", "zone": e.m.zone, "slots": e.slots},
		"status":  map[string]any{"state": state, "sequence": n, "coldRemainingMs": 0},
		"born":    e.born.UnixMilli(),
	})
	return body
}

// tell sends a heartbeat or, with DELETE, a departure to the node beside the endpoint. It reports
// whether the node acknowledged it within a second.
func (e *endpoint) tell(method string, body []byte) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+e.m.address(portControl)+"/comfreycart/instances/"+e.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		e.rec.printf("%s: %s %s -> %v", e.id, method, body, err)
		return false
	}
	_ = resp.Body.Close()
	e.rec.printf("%s: %s %s -> %d", e.id, method, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// beat sends heartbeats until stop is closed.
func (e *endpoint) beat(stop <-chan struct{}) {
	for {
		e.tell(http.MethodPut, e.heartbeatBody("ready"))
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// leaveWhenIdle waits until the endpoint works on nothing and makes it leave: from then on its health
// check fails and its answers say that it is leaving.
func (e *endpoint) leaveWhenIdle() {
	for {
		e.mu.Lock()
		if e.running == 0 {
			e.leaving = true
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}
