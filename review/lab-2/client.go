package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
}

// text returns the request as it is sent. It sets the ID if there is none.
func (r *request) text() string {
	if r.id == "" {
		r.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	closes bool
	body   string
	// err is set unless a whole answer was read.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer: %v", a.err)
	}
	return fmt.Sprintf("%d, %d bytes, sealed %t", a.status, len(a.body), a.sealed)
}

// client is a connection of a client to the outbound address of its machine.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// dial opens a connection; receiveBuffer is the size of the socket's receive buffer, 0 for the default.
func (n *node) dial(receiveBuffer int) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
			if err != nil {
				return err
			}
			return sockErr
		}
	}
	c, err := d.Dial("tcp", n.address(portOutbound))
	if err != nil {
		return nil, err
	}
	return &client{conn: c, in: bufio.NewReaderSize(c, 1024)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// read reads one answer. pace, if it is not nil, reads the body.
func (c *client) read(method string, pace func(io.Reader, int64) (string, error)) answer {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, sealed: resp.Header.Get("Response-Seal") != "", closes: resp.Close}
	if pace == nil {
		pace = func(r io.Reader, _ int64) (string, error) {
			data, err := io.ReadAll(r)
			return string(data), err
		}
	}
	a.body, a.err = pace(resp.Body, resp.ContentLength)
	return a
}

// send sends a request on a connection of its own.
func (n *node) send(r *request) answer {
	c, err := n.dial(0)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if err := c.write(r.text()); err != nil {
		return answer{err: err}
	}
	return c.read(r.method, nil)
}

// steadyReader returns a pace that reads chunk bytes every interval.
func steadyReader(chunk int, interval time.Duration) func(io.Reader, int64) (string, error) {
	return func(r io.Reader, length int64) (string, error) {
		var all strings.Builder
		buffer := make([]byte, chunk)
		for {
			n, err := io.ReadFull(r, buffer)
			all.Write(buffer[:n])
			switch {
			case (err == io.EOF || err == io.ErrUnexpectedEOF) && int64(all.Len()) == length:
				return all.String(), nil
			case err != nil:
				return all.String(), err
			}
			time.Sleep(interval)
		}
	}
}
