package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/test/loopback"
	"comfreycart.dev/comfreycart/test/standin/instance"
)

const (
	// pipelineDeadline is the deadline of pipelined requests. It exceeds the time of any of them, so that
	// each is answered unless a stop cuts it.
	pipelineDeadline = 5 * time.Second
	maxCallerPause   = 200 * time.Millisecond
	// maxIdlePause is the longest time for which a caller leaves its connection idle.
	maxIdlePause = 3 * time.Second
	// A slow caller reads readPiece bytes in each pieceReadTime, and its system receives little more
	// than that in advance.
	readPiece     = 64 << 10
	pieceReadTime = 30 * time.Millisecond

	largeAnswer    = 4 << 20
	moderateAnswer = 200 << 10
)

// pipelinedRequest is a request on a connection that may have others outstanding, and what became of it.
type pipelinedRequest struct {
	id, node, method, target string
	body                     int
	work                     time.Duration
	isChunked, isSlow        bool

	sentAt, endedAt time.Time
	status          int
	// answered is the number of bytes of the answer's body that came.
	answered int
	// isBehind is set if the request was sent before the one before it was answered. If the connection
	// ends then, it counts as not read.
	isBehind bool
	err      error

	mu           sync.Mutex
	sentWhollyAt time.Time
}

func (r *pipelinedRequest) setSentWholly() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentWhollyAt = time.Now()
}

func (r *pipelinedRequest) sentWholly() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentWhollyAt
}

// head returns the request without its body.
func (r *pipelinedRequest) head() string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", r.body)
	if r.isChunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer large-0\r\n%s\r\n",
		r.method, r.target, r.id, pipelineDeadline.Milliseconds(), framing)
}

// writeBody writes the body, a slow one in pieces with pauses.
func (r *pipelinedRequest) writeBody(w io.Writer) error {
	pieces, pause := 1, time.Duration(0)
	if r.isSlow {
		pieces, pause = 8, 100*time.Millisecond
	}
	for i := range pieces {
		size := r.body * (i + 1) / pieces
		size -= r.body * i / pieces
		text := longBody[:size]
		if r.isChunked && size > 0 {
			text = fmt.Sprintf("%x\r\n%s\r\n", size, text)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	if r.isChunked {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

// pipelinedCaller keeps up to depth requests outstanding on one connection after the other.
type pipelinedCaller struct {
	node  *node
	name  string
	rng   *rand.Rand
	depth int
	// readPause is how long the caller pauses after each readPiece bytes of an answer.
	readPause time.Duration

	sent int
	// unanswered counts the requests that were sent on the connection and are not answered.
	unanswered atomic.Int64
	all        []*pipelinedRequest
}

func (c *pipelinedCaller) nextRequest() *pipelinedRequest {
	c.sent++
	r := &pipelinedRequest{id: fmt.Sprintf("%s-%d", c.name, c.sent), node: c.node.name, method: http.MethodGet}
	path := "/safe/"
	if c.rng.IntN(3) == 0 {
		r.method, path = http.MethodPost, "/unsafe/"
		r.body = []int{0, 10, 100 << 10, longBodyBytes}[c.rng.IntN(4)]
		r.isChunked, r.isSlow = c.rng.IntN(3) == 0, c.rng.IntN(4) == 0
	}
	r.work = time.Duration(c.rng.IntN(700)) * time.Millisecond
	if c.rng.IntN(10) == 0 {
		r.work += 2 * time.Second
	}
	query := fmt.Sprintf("?%s=%s", instance.QueryWork, r.work)
	switch c.rng.IntN(12) {
	case 0:
		query += fmt.Sprintf("&%s=%d", instance.QueryBytes, largeAnswer)
	case 1, 2:
		query += fmt.Sprintf("&%s=%d", instance.QueryBytes, moderateAnswer)
	}
	if c.rng.IntN(4) == 0 {
		query += "&" + instance.QuerySubCall + "=1"
	}
	r.target = path + r.id + query
	return r
}

// run sends requests until the node's process is gone or the end has come.
func (c *pipelinedCaller) run(end time.Time) {
	d := &net.Dialer{Timeout: time.Second}
	if c.readPause > 0 {
		d = loopback.SlowReaderDialer(readPiece, d.Timeout)
	}
	for time.Now().Before(end) {
		conn, err := d.Dial("tcp", c.node.address(portCaller))
		if err != nil {
			time.Sleep(callerPause)
			continue
		}
		c.useConnection(conn, end)
		_ = conn.Close()
	}
}

// useConnection sends requests on a connection until it ends.
func (c *pipelinedCaller) useConnection(conn net.Conn, end time.Time) {
	_ = conn.SetDeadline(end.Add(2 * pipelineDeadline))
	c.unanswered.Store(0)
	outstanding := make(chan *pipelinedRequest, c.depth)
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(outstanding)
		c.sendUntil(conn, outstanding, ended, end)
	})
	in := bufio.NewReader(conn)
	isEnded := false
	for r := range outstanding {
		if isEnded {
			r.endedAt = time.Now()
			continue
		}
		isEnded = c.readAnswer(in, r)
		r.endedAt = time.Now()
		c.unanswered.Add(-1)
		if isEnded {
			close(ended)
		}
	}
	wg.Wait()
}

// sendUntil sends requests until the connection has ended or the end has come.
func (c *pipelinedCaller) sendUntil(conn net.Conn, outstanding chan<- *pipelinedRequest, ended <-chan struct{}, end time.Time) {
	for time.Now().Before(end) {
		r := c.nextRequest()
		r.sentAt, r.isBehind = time.Now(), c.unanswered.Add(1) > 1
		select {
		case <-ended:
			return
		case outstanding <- r:
		}
		c.all = append(c.all, r)
		if _, err := io.WriteString(conn, r.head()); err != nil {
			return
		}
		if r.writeBody(conn) != nil {
			return
		}
		r.setSentWholly()
		pause := maxCallerPause
		if c.rng.IntN(10) == 0 {
			pause = maxIdlePause
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(pause))))
	}
}

// readAnswer reads the answer to r and reports whether the connection ends with it.
func (c *pipelinedCaller) readAnswer(in *bufio.Reader, r *pipelinedRequest) (isEnded bool) {
	resp, err := http.ReadResponse(in, &http.Request{Method: r.method})
	if err != nil {
		r.err = err
		return true
	}
	r.status = resp.StatusCode
	buffer, begin := make([]byte, readPiece), ""
	for {
		n, err := io.ReadAtLeast(resp.Body, buffer, 1)
		if begin == "" {
			begin = string(buffer[:min(n, 100)])
		}
		r.answered += n
		if err == io.EOF {
			break
		}
		if err != nil {
			r.err = err
			return true
		}
		time.Sleep(c.readPause * time.Duration(n) / readPiece)
	}
	if r.status == http.StatusOK && !strings.HasPrefix(begin, "answer to "+r.id+" of ") {
		r.err = fmt.Errorf("another answer: %q", begin)
	}
	return resp.Close
}
