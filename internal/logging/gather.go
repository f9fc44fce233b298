package logging

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// gatherer writes lines together that come within gatherTime, since each write is a system
// call. It is safe for concurrent use; only the log's own writer waits for it.
type gatherer struct {
	mu    sync.Mutex
	out   *bufio.Writer
	armed bool
}

func newGatherer(out io.Writer) *gatherer {
	return &gatherer{out: bufio.NewWriterSize(out, gathered)}
}

// Write implements io.Writer.
func (g *gatherer) Write(line []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.armed {
		g.armed = true
		time.AfterFunc(gatherTime, g.flush)
	}
	if g.out.Available() < len(line) {
		if err := g.out.Flush(); err != nil {
			return 0, err
		}
	}
	return g.out.Write(line)
}

// flush writes what has come; an error stays with the writer and is met by the next line.
func (g *gatherer) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	_ = g.out.Flush()
}

// Close implements io.Closer.
func (g *gatherer) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Flush()
}
