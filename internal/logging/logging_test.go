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

// stuck is a reader of the log that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	s := stuck{make(chan struct{})}
	w := NewWriter(s)
	log := New(w, "n1")
	begin := time.Now()
	for range 10 * waitingLines {
		log.Info().Msg("line")
	}
	require.Less(t, time.Since(begin), 5*time.Second)
	close(s.release)
	require.Eventually(t, func() bool { return w.Lost() > 0 }, 5*time.Second, time.Millisecond)
}

func TestLinesAboutRequestsAreBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	m := metric.NewSet()
	log := zerolog.Logger(Requests(zerolog.New(zerolog.SyncWriter(&out)), m))
	for range 3 * linesPerPeriod {
		log.Info().Msg("request answered")
	}
	written := strings.Count(out.String(), "\n")
	require.LessOrEqual(t, written, 2*linesPerPeriod, "at most two periods were begun")
	require.Equal(t, uint64(3*linesPerPeriod-written), m.Counter("comfreycart_log_lines_left_out_total").Get())
}
