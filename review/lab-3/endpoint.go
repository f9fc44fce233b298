package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

	mu    sync.Mutex
	runs  []ran
	conns map[net.Conn]struct{}
}

// ran is a request that ran. target is as it stood in the request line.
type ran struct {
	attempt, method, target, tenant string
	bodyBytes                       int64
	bodyHash                        string
	at                              time.Time
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
		hash := sha256.New()
		n, err := io.Copy(hash, req.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, e.answer(req, n, fmt.Sprintf("%x", hash.Sum(nil)))); err != nil {
			return
		}
	}
}

// answer runs a request and returns the text of the answer. The query may ask for a body of a number
// of bytes. An answer to HEAD has no body.
func (e *endpoint) answer(req *http.Request, bodyBytes int64, bodyHash string) string {
	if req.URL.Path == "/health" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", e.id, endpointSlots)
	}
	attempt := req.Header.Get("Attempt-Id")
	if attempt == "" {
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if want := req.Header.Get("Expected-Instance"); want != "" && want != e.id {
		return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	e.mu.Lock()
	e.runs = append(e.runs, ran{attempt, req.Method, req.RequestURI, req.Header.Get("Tenant"), bodyBytes, bodyHash, time.Now()})
	e.mu.Unlock()
	size, err := strconv.Atoi(req.URL.Query().Get("bytes"))
	if err != nil {
		size = len(attempt)
	}
	body := wholeBody(attempt, size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nServer-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n", attempt, attempt, endpointSlots, len(body))
	if req.Method == http.MethodHead {
		return head
	}
	return head + body
}

// wholeBody returns the body of the answer to an attempt.
func wholeBody(attempt string, size int) string {
	return strings.Repeat(attempt, size/len(attempt)+1)[:size]
}

// runOf returns the runs of an attempt.
func (e *endpoint) runsOf(attempt string) []ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []ran
	for _, r := range e.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}
