package main

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	goneClients = 4
	// goneDepth requests of a client are outstanding when it leaves.
	goneDepth = 40
	// goneWorkMs is how long an endpoint works on a request.
	goneWorkMs = 2500
	// gonePatience is after how long a client leaves: half the objective, as with give_up.
	gonePatience = 750 * time.Millisecond
	// goneGrace is how long after its client's leaving a request may reach an endpoint or keep it at work.
	goneGrace = 500 * time.Millisecond
	// goneFew is what the check takes for "a few" requests.
	goneFew = 3
)

// playGone has clients that send safe requests before the first is answered. With trouble they leave.
func playGone(w *world, trouble bool) (bool, error) {
	if err := w.configure(basicConfig("/leny950/", "huvo11a")); err != nil {
		return false, err
	}
	var nodes []*node
	for _, id := range []string{"n1", "n2", "n3", "n4"} {
		n, err := w.addNode(id, "huvo11a")
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.awaitReady(clientHost, "/leny950/ready", keyB); err != nil {
			return false, err
		}
	}
	// In touch: all is calm for more than contactMs.
	time.Sleep(4 * time.Second)
	lasted, lasting, late := 0, 0, 0
	for range goneClients {
		a, b, c, err := w.sendAndLeave(nodes, goneDepth, trouble)
		if err != nil {
			return false, err
		}
		lasted, lasting, late = lasted+a, lasting+b, late+c
	}
	w.note("endpoints: %d requests would have lasted for more than %s after their client had left, %d were still at work then, %d reached an endpoint later", lasted, goneGrace, lasting, late)
	if trouble {
		if _, _, _, err := w.sendAndLeave(nodes, 30, true); err != nil {
			return false, err
		}
	}
	return late <= goneFew && 4*lasting <= lasted, nil
}

// sendAndLeave sends requests on a connection and leaves, or reads the answers. It returns how many of them
// had begun and would have lasted for goneGrace longer, how many did, and how many began only after that.
func (w *world) sendAndLeave(nodes []*node, depth int, leave bool) (lasted, lasting, late int, err error) {
	c, err := dial(nodes[0].outbound)
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.conn.Close()
	var text strings.Builder
	attempts := map[string]bool{}
	for range depth {
		attempt := newAttempt()
		attempts[attempt] = true
		text.WriteString(head(http.MethodGet, "/leny950/2f?work="+strconv.Itoa(goneWorkMs), attempt, keyB, 9*time.Second, ""))
	}
	if err := c.send(text.String()); err != nil {
		return 0, 0, 0, err
	}
	if !leave {
		for range depth {
			if _, err := c.readWhole(10 * time.Second); err != nil {
				return 0, 0, 0, err
			}
		}
		w.note("client: stayed with %d requests, all answered", depth)
		return 0, 0, 0, nil
	}
	time.Sleep(gonePatience)
	_ = c.conn.Close()
	left := time.Now()
	time.Sleep(6 * time.Second)
	for _, n := range nodes {
		n.endpoint.mu.Lock()
		for _, r := range n.endpoint.runs {
			switch {
			case !attempts[r.attempt]:
			case r.at.After(left.Add(goneGrace)):
				late++
			case r.at.Add(goneWorkMs * time.Millisecond).After(left.Add(goneGrace)):
				lasted++
				if r.ended.IsZero() || r.ended.After(left.Add(goneGrace)) {
					lasting++
				}
			}
		}
		n.endpoint.mu.Unlock()
	}
	w.note("client: left with %d requests outstanding; of %d that would have lasted, %d were still at work %s later; %d more reached an endpoint after that", depth, lasted, lasting, goneGrace, late)
	return lasted, lasting, late, nil
}
