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
	"strconv"
	"sync"
	"time"
)

// endpoint is a sound endpoint: it announces itself, answers its health check, runs one request at a
// time on a connection and repeats the Attempt-Id.
type endpoint struct {
	w                             *world
	id, service, address, control string
	born                          time.Time
	sequence                      int
	lis                           net.Listener

	mu      sync.Mutex
	running int
	runs    []*ran
	conns   map[net.Conn]struct{}
}

// ran is a request that ran. It ended when its work was done or its connection closed.
type ran struct {
	attempt   string
	at, ended time.Time
}

const endpointSlots = 72

func (w *world) startEndpoint(id, service, address, control string) (*endpoint, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{w: w, id: id, service: service, address: address, control: control, born: time.Now(), lis: lis, conns: map[net.Conn]struct{}{}}
	go e.accept()
	ctx, cancel := context.WithCancel(context.Background())
	go e.announce(ctx)
	w.onClose(func() {
		cancel()
		e.close()
	})
	return e, nil
}

func (e *endpoint) close() {
	_ = e.lis.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *endpoint) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		e.sequence++
		body, _ := json.Marshal(map[string]any{
			"address": e.address, "born": e.born.UnixMilli(),
			"info":   map[string]any{"service": e.service, "version": "v1", "zone": "zone-a", "slots": endpointSlots},
			"status": map[string]any{"state": "ready", "sequence": e.sequence, "coldRemainingMs": 0},
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.control+"/comfreycart/instances/"+e.id, bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (e *endpoint) accept() {
	for {
		c, err := e.lis.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go e.serveConn(c)
	}
}

func (e *endpoint) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, c)
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		// Another request comes only after the answer, so that a byte or an error ends the wait.
		next := make(chan struct{})
		go func() {
			defer close(next)
			_, _ = in.Peek(1)
		}()
		answer, ok := e.answer(req, next)
		if !ok {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		<-next
	}
}

// answer runs a request and returns the text of the answer, false if the connection closed meanwhile. The
// query may ask for work of a number of milliseconds.
func (e *endpoint) answer(req *http.Request, closed <-chan struct{}) (string, bool) {
	if req.URL.Path == "/health" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", e.id, endpointSlots), true
	}
	attempt := req.Header.Get("Attempt-Id")
	if attempt == "" {
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	if want := req.Header.Get("Expected-Instance"); want != "" && want != e.id {
		return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= endpointSlots {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", attempt, e.running, endpointSlots), true
	}
	e.running++
	r := &ran{attempt: attempt, at: time.Now()}
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	workMs, err := strconv.Atoi(req.URL.Query().Get("work"))
	if err != nil {
		workMs = 0
	}
	ok := true
	select {
	case <-closed:
		ok = false
	case <-time.After(time.Duration(workMs) * time.Millisecond):
	}
	e.mu.Lock()
	e.running--
	r.ended = time.Now()
	body := "answer to " + attempt
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nServer-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		attempt, attempt, e.running, endpointSlots, len(body), body), ok
}

// runsOf returns the runs of an attempt.
func (e *endpoint) runsOf(attempt string) []*ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*ran
	for _, r := range e.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}
