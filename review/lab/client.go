package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns a new ID of a client attempt.
func newAttempt() string {
	return fmt.Sprintf("a%08x%06x", time.Now().UnixMilli()&0xffffffff, attempts.Add(1))
}

// answer is what a client gets for a request: status 0 if the connection ended without one.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// clientConn is a kept connection of a client.
type clientConn struct {
	raw net.Conn
	in  *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{raw, bufio.NewReader(raw)}, nil
}

// send writes a request.
func (c *clientConn) send(method, host, path, attempt, key, body string, deadline time.Duration) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, attempt, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c.raw, b.String())
	return err
}

// receive reads the next answer as that to a request with the method.
func (c *clientConn) receive(method string, timeout time.Duration) answer {
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// once sends one request on a connection of its own and returns the answer.
func once(address, method, host, path, attempt, key, body string, deadline time.Duration) answer {
	c, err := dialClient(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.raw.Close()
	if err := c.send(method, host, path, attempt, key, body, deadline); err != nil {
		return answer{err: err}
	}
	return c.receive(method, deadline+time.Second)
}
