package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	clientHost = "hulo84.example"
	keyA       = "key-of-tenant-a"
	keyB       = "key-of-tenant-b"
)

func newAttempt() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// client is a kept connection of a client.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}, nil
}

// head returns the head of a request. lines are further header lines, each with its end.
func head(method, target, attempt, key string, deadline time.Duration, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, target, clientHost, attempt, deadline.Milliseconds(), key, lines)
}

func (c *client) send(text string) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.conn.Write([]byte(text))
	return err
}

// answerHead is the head of an answer.
type answerHead struct {
	line   string
	status int
	header textproto.MIMEHeader
}

// readHead reads the head of the next answer. It returns an error with the line that was read if that is
// no status line.
func (c *client) readHead(within time.Duration) (answerHead, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	text := textproto.NewReader(c.in)
	line, err := text.ReadLine()
	if err != nil {
		return answerHead{line: line}, err
	}
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !ok || err != nil {
		return answerHead{line: line}, fmt.Errorf("bytes that are no answer: %q", line)
	}
	header, err := text.ReadMIMEHeader()
	return answerHead{line, status, header}, err
}

// readWhole reads the next answer with its body and returns the status.
func (c *client) readWhole(within time.Duration) (int, error) {
	answer, err := c.readHead(within)
	if err != nil {
		return 0, err
	}
	length, err := strconv.ParseInt(answer.header.Get("Content-Length"), 10, 64)
	if err != nil {
		return 0, err
	}
	_, err = io.CopyN(io.Discard, c.in, length)
	return answer.status, err
}

// basicConfig is a configuration with one safe and one unsafe route to a service.
func basicConfig(prefix, service string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "trafficSplit", "maxAttempts", "public", "service"},
			"rows": [][]any{
				{"r-view", clientHost, prefix, "safe", 20000, 1500, 2, nil, 2, false, service},
				{"r-confirm", "jepu9.example", "/puka111/", "unsafe", 20000, 1500, 0, nil, 2, false, service},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"},
			"rows":    [][]any{{service, "/health", 532, "h1", false}, {"wuno96b", "/health", 532, "h1", false}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": map[string]any{
			"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"},
			"rows": [][]any{
				{"tenant-a", []string{keyA}, 1, nil, nil},
				{"tenant-b", []string{keyB}, 1, nil, nil},
			},
		},
	}
}
