package logging

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writes keeps what each call to Write brought.
type writes struct {
	mu  sync.Mutex
	all []string
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, string(p))
	return len(p), nil
}

func (w *writes) seen() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.all...)
}

func TestLinesThatComeTogetherAreWrittenTogether(t *testing.T) {
	w := &writes{}
	g := newGatherer(w)
	for range 3 {
		_, err := g.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(w.seen()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "line\nline\nline\n", w.seen()[0])
	long := make([]byte, gathered-2)
	_, err := g.Write([]byte("a\n"))
	require.NoError(t, err)
	_, err = g.Write([]byte("b\n"))
	require.NoError(t, err)
	_, err = g.Write(long)
	require.NoError(t, err)
	require.Equal(t, "a\nb\n", w.seen()[1], "a line is never split")
	require.NoError(t, g.Close())
	require.Len(t, w.seen(), 3)
}
