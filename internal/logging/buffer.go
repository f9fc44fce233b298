package logging

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// lineBuffer combines lines that are written within flushDelay into one write, since each write
// is a system call. It is safe for concurrent use. Only the goroutine that writes the queued log
// lines waits for it, never the code that logs. Lines that cannot be written are lost; later ones are
// tried again.
type lineBuffer struct {
	mu               sync.Mutex
	target           io.Writer
	out              *bufio.Writer
	lines            int
	isFlushScheduled bool
	onLost           func(lines int)
}

// newLineBuffer returns a buffer in front of out. It calls onLost with the number of lines that a failed
// write lost.
func newLineBuffer(out io.Writer, onLost func(lines int)) *lineBuffer {
	return &lineBuffer{target: out, out: bufio.NewWriterSize(out, bufferBytes), onLost: onLost}
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
		if err := b.flushLocked(); err != nil {
			return 0, err
		}
	}
	b.lines++
	n, err := b.out.Write(line)
	if err != nil {
		b.drop()
	}
	return n, err
}

// flush writes the buffered lines. Lines that are lost are counted by onLost.
func (b *lineBuffer) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isFlushScheduled = false
	_ = b.flushLocked()
}

// flushLocked writes the buffered lines. b.mu must be held.
func (b *lineBuffer) flushLocked() error {
	err := b.out.Flush()
	if err != nil {
		b.drop()
	}
	b.lines = 0
	return err
}

// drop gives the buffered lines up after a failed write. b.mu must be held.
func (b *lineBuffer) drop() {
	b.onLost(b.lines)
	b.lines = 0
	b.out.Reset(b.target)
}

// Close implements io.Closer.
func (b *lineBuffer) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.flushLocked()
}
