package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/metric"
)

// blockedWriter is a reader of the log that has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	w := NewWriter(s)
	log := New(w, "n1")
	begin := time.Now()
	for range 10 * maxQueuedLines {
		log.Info().Msg("line")
	}
	require.Less(t, time.Since(begin), 5*time.Second)
	close(s.release)
	require.Eventually(t, func() bool { return w.DroppedLines() > 0 }, 5*time.Second, time.Millisecond)
}

func TestRequestLogDropsAndCountsExcessLines(t *testing.T) {
	var out bytes.Buffer
	m := metric.NewSet()
	log := zerolog.Logger(NewRequestLog(zerolog.New(zerolog.SyncWriter(&out)), m))
	for range 3 * maxRequestLinesPerPeriod {
		log.Info().Msg("request answered")
	}
	written := strings.Count(out.String(), "\n")
	require.LessOrEqual(t, written, 2*maxRequestLinesPerPeriod, "at most two periods were begun")
	require.Equal(t, uint64(3*maxRequestLinesPerPeriod-written), m.Counter("comfreycart_log_lines_left_out_total").Get())
}
