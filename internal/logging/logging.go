// Package logging writes a node's log: JSON lines that never hold a request up and whose
// volume is bounded.
package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/system"
)

const (
	// maxQueuedLines is how many lines wait for a slow reader before the oldest are
	// dropped, and poll how often the writer looks for new ones; a node that logs as many
	// lines as it may fills a twentieth of the room in that time.
	maxQueuedLines = 1024
	pollInterval         = 100 * time.Millisecond
	// bufferBytes is the bytes of lines that are written together, and gatherTime how long
	// the first of them waits.
	bufferBytes   = 16 << 10
	flushDelay = 50 * time.Millisecond
	// maxRequestLinesPerPeriod bounds the lines about requests in each period; a node at the
	// target size answers about 80 requests a second and passes on as many.
	maxRequestLinesPerPeriod = 500
	samplingPeriod         = time.Second
	// reportInterval is the time between two looks at what was dropped.
	reportInterval = 10 * time.Second
)

// Writer is a log's output.
type Writer struct {
	io.WriteCloser
	dropped atomic.Int64
}

// NewWriter returns a writer to out that drops lines rather than wait.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{}
	w.WriteCloser = diode.NewWriter(newLineBuffer(out), maxQueuedLines, pollInterval, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// DroppedLines is the number of lines dropped so far because the reader was slow.
func (w *Writer) DroppedLines() int64 { return w.dropped.Load() }

// ReportDropped logs how many lines were dropped, whenever some were, until ctx ends.
func (w *Writer) ReportDropped(ctx context.Context, log zerolog.Logger) {
	told := int64(0)
	system.Every(ctx, reportInterval, func() {
		if lost := w.DroppedLines(); lost > told {
			log.Warn().Int64("lines", lost-told).Msg("log lines dropped")
			told = lost
		}
	})
}

// New returns a node's logger.
func New(w io.Writer, id string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("node", id).Logger()
}

// RequestLog is a logger for lines about single requests.
type RequestLog zerolog.Logger

// NewRequestLog returns the logger for lines about single requests: as log, but with a bounded
// number of lines a period. Those left out are counted.
func NewRequestLog(log zerolog.Logger, m *metric.Set) RequestLog {
	left := m.Counter("comfreycart_log_lines_left_out_total")
	burst := &zerolog.BurstSampler{Burst: maxRequestLinesPerPeriod, Period: samplingPeriod}
	return RequestLog(log.Sample(samplerFunc(func(level zerolog.Level) bool {
		if burst.Sample(level) {
			return true
		}
		left.Inc()
		return false
	})))
}

// samplerFunc is a function as a zerolog.Sampler.
type samplerFunc func(zerolog.Level) bool

// Sample implements zerolog.Sampler.
func (s samplerFunc) Sample(level zerolog.Level) bool { return s(level) }
