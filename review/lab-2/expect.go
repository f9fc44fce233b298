package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() { cases["expect-in-answer"] = expectInAnswer }

// Figures of expectInAnswer.
const (
	expectClients     = 4
	expectAnswerBytes = 12 << 20
	// expectChunk is read every expectInterval: 2 MiB a second.
	expectChunk    = 32 << 10
	expectInterval = 16 * time.Millisecond
	expectBuffer   = 32 << 10
)

// expectInAnswer: while clients read a long answer they send a further safe request on the connection,
// with a body and "Expect: 100-continue". Without the disruption they read as fast as they can.
func expectInAnswer(w *world) (bool, error) {
	if err := w.start(smallConfig(), smallDeployment("orders")); err != nil {
		return false, err
	}
	for _, n := range w.nodes {
		n.endpoint.setWork(func(target string) (time.Duration, int) {
			if strings.Contains(target, "report") {
				return 20 * time.Millisecond, expectAnswerBytes
			}
			return 5 * time.Millisecond, 200
		})
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	for i := range expectClients {
		wg.Go(func() {
			c, err := w.nodes[i%len(w.nodes)].dial(expectBuffer)
			if err != nil {
				w.logf("client %d: %v", i, err)
				return
			}
			defer c.close()
			_ = c.conn.SetDeadline(time.Now().Add(15 * time.Second))
			first := &request{method: "GET", host: "shop.example", path: "/read/report", key: "key-of-t1", deadline: 15 * time.Second}
			if err := c.write(first.text()); err != nil {
				w.logf("client %d: %v", i, err)
				return
			}
			go func() {
				time.Sleep(300 * time.Millisecond)
				second := &request{method: "POST", host: "shop.example", path: "/read/search", key: "key-of-t1", body: "words", deadline: 10 * time.Second}
				text := second.text()
				head, body, _ := strings.Cut(text, "\r\n\r\n")
				_ = c.write(head + "\r\nExpect: 100-continue\r\n\r\n")
				// The client sends the body without waiting any longer for the 100.
				time.Sleep(time.Second)
				_ = c.write(body)
			}()
			a := c.read("GET", func(r io.Reader, length int64) (string, error) {
				if !w.trouble {
					data, err := io.ReadAll(r)
					return string(data), err
				}
				return steadyReader(expectChunk, expectInterval)(r, length)
			})
			want := answerBody(first.id, expectAnswerBytes)
			isWrong := a.err == nil && a.status == 200 && a.sealed && a.body != want
			note := ""
			if at := strings.Index(a.body, "HTTP/1.1 100"); at >= 0 {
				note = fmt.Sprintf("; at byte %d of the body: %.40q", at, a.body[at:])
			}
			w.logf("client %d: %s: %v; the endpoint's body: %t%s", i, first.id, a, a.body == want, note)
			if isWrong {
				mu.Lock()
				wrong++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	w.logf("successes with a body that isn't the endpoint's: %d, allowed 0", wrong)
	return wrong > 0, nil
}
