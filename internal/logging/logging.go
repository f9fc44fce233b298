// Package logging writes a node's log as JSON lines. Logging never blocks a request, and the
// number of lines about requests is limited. Lines that exceed either bound are dropped and
// counted.
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
	// maxQueuedLines is the number of lines queued for a slow reader before the oldest are
	// dropped. pollInterval is how often the writer checks the queue. A node that logs the
	// maximum number of lines fills a twentieth of the queue in one pollInterval.
	maxQueuedLines = 1024
	pollInterval   = 100 * time.Millisecond
	// bufferBytes is the maximum size of lines that are written together, and flushDelay how
	// long the first of them waits.
	bufferBytes = 16 << 10
	flushDelay  = 50 * time.Millisecond
	// maxRequestLinesPerPeriod limits the lines about requests in each samplingPeriod. A node at
	// the target size answers about 80 requests per second and forwards as many.
	maxRequestLinesPerPeriod = 500
	samplingPeriod           = time.Second
	// reportInterval is how often the number of dropped lines is logged if it increased.
	reportInterval = 10 * time.Second
)

// Writer is the output of a log. It drops lines if its reader is slow or gone.
type Writer struct {
	io.WriteCloser
	dropped atomic.Int64
}

// NewWriter returns a writer to out that drops lines rather than block.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{}
	countDropped := func(lines int) { w.dropped.Add(int64(lines)) }
	w.WriteCloser = diode.NewWriter(newLineBuffer(out, countDropped), maxQueuedLines, pollInterval, countDropped)
	return w
}

// DroppedLines returns the number of lines dropped so far because the reader was slow or gone.
func (w *Writer) DroppedLines() int64 { return w.dropped.Load() }

// ReportDropped logs the number of newly dropped lines whenever there are any, until ctx ends.
func (w *Writer) ReportDropped(ctx context.Context, log zerolog.Logger) {
	reported := int64(0)
	system.Every(ctx, reportInterval, func() {
		if dropped := w.DroppedLines(); dropped > reported {
			log.Warn().Int64("lines", dropped-reported).Msg("log lines dropped")
			reported = dropped
		}
	})
}

// New returns the logger of the node id.
func New(w io.Writer, id string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("node", id).Logger()
}

// RequestLog is a logger for lines about individual requests.
type RequestLog zerolog.Logger

// NewRequestLog returns a logger for lines about individual requests. It writes to log at most
// maxRequestLinesPerPeriod lines per samplingPeriod, and counts the lines left out in a metric.
func NewRequestLog(log zerolog.Logger, m *metric.Set) RequestLog {
	leftOut := m.Counter("comfreycart_log_lines_left_out_total")
	burst := &zerolog.BurstSampler{Burst: maxRequestLinesPerPeriod, Period: samplingPeriod}
	return RequestLog(log.Sample(samplerFunc(func(level zerolog.Level) bool {
		if burst.Sample(level) {
			return true
		}
		leftOut.Inc()
		return false
	})))
}

// samplerFunc is a function that implements zerolog.Sampler.
type samplerFunc func(zerolog.Level) bool

// Sample implements zerolog.Sampler.
func (s samplerFunc) Sample(level zerolog.Level) bool { return s(level) }
