package main

import (
	"net/http"
	"time"
)

// playPath sends requests whose path the endpoint must get as it was sent. With trouble, the path begins
// with two slashes, as where a client joins a base address that ends with a slash and a path.
func playPath(w *world, trouble bool) (bool, error) {
	if err := w.configure(basicConfig("/", "huvo11a", 0, 0)); err != nil {
		return false, err
	}
	n, err := w.addNode("n1", "huvo11a")
	if err != nil {
		return false, err
	}
	if err := n.awaitReady(clientHost, "/ready", keyB); err != nil {
		return false, err
	}
	slash := "/"
	if trouble {
		slash = "//"
	}
	held := true
	for _, path := range []string{"segments/7", "segments/km%2012", "crews/a%2Fb?day=1", "rolls/(80g)", "rolls/80g!"} {
		ok, err := w.sendPath(n, slash+path)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// sendPath sends one GET and reports whether the endpoint ran it with the target that was sent.
func (w *world) sendPath(n *node, target string) (bool, error) {
	c, err := dial(n.outbound)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	attempt := newAttempt()
	if err := c.send(head(http.MethodGet, target, attempt, keyB, 3*time.Second, "")); err != nil {
		return false, err
	}
	answer, err := c.readHead(5 * time.Second)
	if err != nil {
		return false, err
	}
	held := true
	w.note("client: sent GET %s as %s, answered %s", target, attempt, answer.line)
	for _, r := range n.endpoint.runsOf(attempt) {
		w.note("endpoint: ran %s %s as %s", r.method, r.target, r.attempt)
		held = held && r.target == target && r.method == http.MethodGet
	}
	return held, nil
}
