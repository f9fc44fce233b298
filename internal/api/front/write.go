package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writeBufferBytes holds the head of an answer and a small body.
const writeBufferBytes = 4 << 10

// writeReply writes a reply; last tells the caller that the connection ends.
func (c *conn) writeReply(r *Reply, last bool) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(chunkTimeoutWriter{c.netConn})
	text := http.StatusText(r.Status)
	if text == "" {
		text = "status"
	}
	fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", r.Status, text)
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if bodyAllowed(r.Status) && r.Header.Get("Content-Length") == "" {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if bodyAllowed(r.Status) {
		_, _ = w.Write(r.Body)
	}
	return w.Flush()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// chunkTimeoutWriter gives each part of what is written its own time.
type chunkTimeoutWriter struct{ netConn net.Conn }

// Write implements io.Writer.
func (p chunkTimeoutWriter) Write(b []byte) (int, error) {
	n := 0
	for len(b) > n {
		part := b[n:min(len(b), n+ioChunkBytes)]
		if err := p.netConn.SetWriteDeadline(time.Now().Add(writeChunkTimeout)); err != nil {
			return n, err
		}
		m, err := p.netConn.Write(part)
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
