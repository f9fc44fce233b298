package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// playInterim sends a GET with a large answer, and behind it a request with a body that waits for the
// interim answer 100, both safe. With trouble, the client reads slowly.
func playInterim(w *world, trouble bool) (bool, error) {
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
	held := true
	for range 8 {
		ok, err := w.pipelineUpload(n, trouble)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	return held, nil
}

// interimAnswerBytes exceeds what the kernel holds of an answer that the client does not read.
const interimAnswerBytes = 16 << 20

func (w *world) pipelineUpload(n *node, slow bool) (bool, error) {
	c, err := dial(n.outbound)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	const within = 15 * time.Second
	first, second := newAttempt(), newAttempt()
	if err := c.send(head(http.MethodGet, "/leny950/2f?bytes="+strconv.Itoa(interimAnswerBytes), first, keyB, within, "")); err != nil {
		return false, err
	}
	if slow {
		// The node writes the answer while the client does not read it.
		time.Sleep(900 * time.Millisecond)
	}
	upload := strings.Repeat("u", 1000)
	lines := fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(upload))
	if err := c.send(head(http.MethodPost, "/leny950/2f", second, keyB, within, lines)); err != nil {
		return false, err
	}
	if slow {
		time.Sleep(200 * time.Millisecond)
	}
	got100 := false
	answer, err := c.readHead(within)
	for err == nil && answer.status == http.StatusContinue {
		got100 = true
		answer, err = c.readHead(within)
	}
	if err != nil {
		return false, err
	}
	w.note("client: GET %s: %s, Content-Length %s, slowly %v", first, answer.line, answer.header.Get("Content-Length"), slow)
	if answer.status != http.StatusOK {
		return true, nil
	}
	length, err := strconv.Atoi(answer.header.Get("Content-Length"))
	if err != nil {
		return false, err
	}
	body, err := c.readBody(length, slow)
	if err != nil {
		return false, err
	}
	want := wholeBody(first, interimAnswerBytes)
	if body != want {
		at := 0
		for at < len(body) && at < len(want) && body[at] == want[at] {
			at++
		}
		w.note("client: the body of %s differs from the endpoint's from byte %d on: %q", first, at, body[at:min(len(body), at+60)])
		return false, nil
	}
	w.note("client: whole body of %s, interim answer before it %v", first, got100)
	return true, nil
}

var errShort = errors.New("the answer ended early")

func (c *client) readBody(length int, slow bool) (string, error) {
	body := make([]byte, length)
	for done := 0; done < length; {
		_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := io.ReadFull(c.in, body[done:min(length, done+(256<<10))])
		done += n
		if err != nil {
			return "", errShort
		}
		if slow {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return string(body), nil
}
