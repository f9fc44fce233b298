package logging

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// lineBuffer writes lines together that come within gatherTime, since each write is a system
// call. It is safe for concurrent use; only the log's own writer waits for it.
type lineBuffer struct {
	mu    sync.Mutex
	out   *bufio.Writer
	isFlushScheduled bool
}

func newLineBuffer(out io.Writer) *lineBuffer {
	return &lineBuffer{out: bufio.NewWriterSize(out, bufferBytes)}
}

// Write implements io.Writer.
func (g *lineBuffer) Write(line []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isFlushScheduled {
		g.isFlushScheduled = true
		time.AfterFunc(flushDelay, g.flush)
	}
	if g.out.Available() < len(line) {
		if err := g.out.Flush(); err != nil {
			return 0, err
		}
	}
	return g.out.Write(line)
}

// flush writes what has come; an error stays with the writer and is met by the next line.
func (g *lineBuffer) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isFlushScheduled = false
	_ = g.out.Flush()
}

// Close implements io.Closer.
func (g *lineBuffer) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Flush()
}
