package logging

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeRecorder keeps what each call to Write brought.
type writeRecorder struct {
	mu  sync.Mutex
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
	g := newLineBuffer(w)
	for range 3 {
		_, err := g.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(w.recorded()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "line\nline\nline\n", w.recorded()[0])
	long := make([]byte, bufferBytes-2)
	_, err := g.Write([]byte("a\n"))
	require.NoError(t, err)
	_, err = g.Write([]byte("b\n"))
	require.NoError(t, err)
	_, err = g.Write(long)
	require.NoError(t, err)
	require.Equal(t, "a\nb\n", w.recorded()[1], "a line is never split")
	require.NoError(t, g.Close())
	require.Len(t, w.recorded(), 3)
}
