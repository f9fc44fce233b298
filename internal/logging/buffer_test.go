package logging

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeRecorder records the data of each call of Write.
type writeRecorder struct {
	mu     sync.Mutex
	chunks []string
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chunks = append(w.chunks, string(p))
	return len(p), nil
}

func (w *writeRecorder) recorded() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.chunks...)
}

func TestLineBufferCoalescesLines(t *testing.T) {
	w := &writeRecorder{}
	b := newLineBuffer(w, func(int) { t.Error("lines were lost") })
	for range 3 {
		_, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(w.recorded()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "line\nline\nline\n", w.recorded()[0])
	longLine := make([]byte, bufferBytes-2)
	_, err := b.Write([]byte("a\n"))
	require.NoError(t, err)
	_, err = b.Write([]byte("b\n"))
	require.NoError(t, err)
	_, err = b.Write(longLine)
	require.NoError(t, err)
	require.Equal(t, "a\nb\n", w.recorded()[1], "a line is never split")
	require.NoError(t, b.Close())
	require.Len(t, w.recorded(), 3)
}

// errorWriter fails while failing is set.
type errorWriter struct {
	writeRecorder
	failing bool
}

func (w *errorWriter) Write(p []byte) (int, error) {
	if w.failing {
		return 0, syscall.EPIPE
	}
	return w.writeRecorder.Write(p)
}

// One failed write must not end the log: the error stayed, and all later lines were lost uncounted.
func TestLineBufferGoesOnAfterAFailedWrite(t *testing.T) {
	w, lost := &errorWriter{failing: true}, 0
	b := newLineBuffer(w, func(lines int) { lost += lines })
	for range 2 {
		_, err := b.Write([]byte("lost\n"))
		require.NoError(t, err)
	}
	require.ErrorIs(t, b.Close(), syscall.EPIPE)
	require.Equal(t, 2, lost)
	w.failing = false
	_, err := b.Write([]byte("line\n"))
	require.NoError(t, err)
	require.NoError(t, b.Close())
	require.Equal(t, []string{"line\n"}, w.recorded())
	require.Equal(t, 2, lost)
}
