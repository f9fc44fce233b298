package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowClients = 3
	// slowDepth safe requests are sent behind one another on a kept connection, with answers of the size
	// that the largest of roster-view have.
	slowDepth       = 12
	slowAnswerBytes = 30000
	// slowPause is how long a client with trouble leaves its answers unread, once. Its requests have a
	// deadline of slowDeadline.
	slowPause    = 2500 * time.Millisecond
	slowDeadline = 8 * time.Second
	// maxLost is the bound of LOST.
	maxLost = 3
)

// playSlow has clients that send safe requests on kept connections before the first is answered. With
// trouble they leave the answers unread for a while and then read on.
func playSlow(w *world, trouble bool) (bool, error) {
	if err := w.configure(basicConfig("/leny950/", "huvo11a", 0, 0)); err != nil {
		return false, err
	}
	n, err := w.addNode("n1", "huvo11a")
	if err != nil {
		return false, err
	}
	if err := n.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
		return false, err
	}
	// In touch: all is calm for more than contactMs.
	time.Sleep(4 * time.Second)
	var lost atomic.Int64
	var failed atomic.Pointer[error]
	var all sync.WaitGroup
	for range slowClients {
		all.Go(func() {
			k, err := w.readSlowly(n, trouble)
			if err != nil {
				failed.Store(&err)
			}
			lost.Add(int64(k))
		})
	}
	all.Wait()
	if err := failed.Load(); err != nil {
		return false, *err
	}
	w.note("clients: %d requests of kept connections ran and got no answer; LOST allows %d", lost.Load(), maxLost)
	return lost.Load() <= maxLost, nil
}

// readSlowly returns how many requests ran at the endpoint and got not a byte of an answer before their
// connection ended.
func (w *world) readSlowly(n *node, slow bool) (int, error) {
	c, err := dial(n.outbound)
	if err != nil {
		return 0, err
	}
	defer c.conn.Close()
	target := "/leny950/2f?bytes=" + strconv.Itoa(slowAnswerBytes)
	attempts := []string{newAttempt()}
	if err := c.send(head(http.MethodGet, target, attempts[0], keyB, slowDeadline, "")); err != nil {
		return 0, err
	}
	if err := c.readWhole(attempts[0]); err != nil {
		return 0, fmt.Errorf("the first request of a connection: %w", err)
	}
	var text strings.Builder
	for range slowDepth {
		attempt := newAttempt()
		attempts = append(attempts, attempt)
		text.WriteString(head(http.MethodGet, target, attempt, keyB, slowDeadline, ""))
	}
	sent := time.Now()
	if err := c.send(text.String()); err != nil {
		return 0, err
	}
	if slow {
		time.Sleep(slowPause)
	}
	lost := 0
	var ended error
	for i, attempt := range attempts[1:] {
		unread := ended != nil
		if !unread {
			ended = c.readWhole(attempt)
			// The answer that the end of the connection cut off has begun; it is not counted.
			unread = ended != nil && c.began == 0
		}
		runs := len(n.endpoint.runsOf(attempt))
		switch {
		case ended == nil:
			w.note("client: request %d, %s, ran %d times, answered whole %.1f s after it was sent", i+1, attempt, runs, time.Since(sent).Seconds())
		case unread && runs > 0:
			lost++
			w.note("client: request %d, %s, ran %d times, NO ANSWER %.1f s after it was sent: %v", i+1, attempt, runs, time.Since(sent).Seconds(), ended)
		default:
			w.note("client: request %d, %s, ran %d times, answer cut %.1f s after it was sent: %v", i+1, attempt, runs, time.Since(sent).Seconds(), ended)
		}
	}
	return lost, nil
}

// readWhole reads the answer to an attempt.
func (c *client) readWhole(attempt string) error {
	c.began = 0
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	c.began = 1
	answer, err := c.readHead(slowDeadline)
	if err != nil {
		return err
	}
	length, err := strconv.Atoi(answer.header.Get("Content-Length"))
	if err != nil || answer.status != http.StatusOK || answer.header.Get("Attempt-Id") != attempt {
		return fmt.Errorf("%s of %q", answer.line, answer.header.Get("Attempt-Id"))
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return err
	}
	if string(body) != wholeBody(attempt, slowAnswerBytes) {
		return fmt.Errorf("another body")
	}
	return nil
}
