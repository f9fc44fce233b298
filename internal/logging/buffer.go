package logging

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// lineBuffer combines lines that are written within flushDelay into one write, since each write
// is a system call. It is safe for concurrent use. Only the goroutine that writes the queued log
// lines waits for it, never the code that logs.
type lineBuffer struct {
	mu               sync.Mutex
	out              *bufio.Writer
	isFlushScheduled bool
}

func newLineBuffer(out io.Writer) *lineBuffer {
	return &lineBuffer{out: bufio.NewWriterSize(out, bufferBytes)}
}

// Write implements io.Writer.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isFlushScheduled {
		b.isFlushScheduled = true
		time.AfterFunc(flushDelay, b.flush)
	}
	if b.out.Available() < len(line) {
		if err := b.out.Flush(); err != nil {
			return 0, err
		}
	}
	return b.out.Write(line)
}

// flush writes the buffered lines. The bufio.Writer keeps an error and returns it from the next
// Write.
func (b *lineBuffer) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isFlushScheduled = false
	_ = b.out.Flush()
}

// Close implements io.Closer.
func (b *lineBuffer) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Flush()
}
