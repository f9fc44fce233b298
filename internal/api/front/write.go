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

// writeBufferBytes is large enough for the head of a reply and a small body.
const writeBufferBytes = 4 << 10

// writeReply writes a reply, with "Connection: close" if last is set.
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

// chunkTimeoutWriter writes in chunks of ioChunkBytes with a timeout for each, so that a slow
// caller may take long over a large reply but must keep reading.
type chunkTimeoutWriter struct{ netConn net.Conn }

// Write implements io.Writer.
func (w chunkTimeoutWriter) Write(b []byte) (int, error) {
	written := 0
	for len(b) > written {
		chunk := b[written:min(len(b), written+ioChunkBytes)]
		if err := w.netConn.SetWriteDeadline(time.Now().Add(writeChunkTimeout)); err != nil {
			return written, err
		}
		n, err := w.netConn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
