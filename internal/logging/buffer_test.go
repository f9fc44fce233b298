package logging

import (
	"sync"
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
	b := newLineBuffer(w)
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
