// Package metric holds the counters and histograms that a node exposes.
package metric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"comfreycart.dev/comfreycart/internal/call"
)

// Set is one node's metrics. All methods are safe for concurrent use.
type Set struct {
	set      *metrics.Set
	refusalCounters map[call.Reason]*metrics.Counter
	retryCounters  map[call.Reason]*metrics.Counter
}

// NewSet returns a set with a counter for every refusal and retry reason.
func NewSet() *Set {
	s := &Set{
		set:      metrics.NewSet(),
		refusalCounters: map[call.Reason]*metrics.Counter{},
		retryCounters:  map[call.Reason]*metrics.Counter{},
	}
	for _, r := range call.Reasons {
		s.refusalCounters[r] = s.Counter("comfreycart_refusals_total", "reason", string(r))
		s.retryCounters[r] = s.Counter("comfreycart_retries_total", "reason", string(r))
	}
	return s
}

// CountRefusal counts one refusal or failure given to a caller or backend server.
func (s *Set) CountRefusal(r call.Reason) { s.refusalCounters[r].Inc() }

// CountRetry counts one retry sent because of r.
func (s *Set) CountRetry(r call.Reason) { s.retryCounters[r].Inc() }

// Counter returns the counter with the name and label pairs, creating it at need.
func (s *Set) Counter(name string, labels ...string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fullName(name, labels))
}

// FloatCounter is Counter for amounts that need not be whole.
func (s *Set) FloatCounter(name string, labels ...string) *metrics.FloatCounter {
	return s.set.GetOrCreateFloatCounter(fullName(name, labels))
}

// Gauge registers f as a gauge. The first registration of a name wins.
func (s *Set) Gauge(name string, f func() float64, labels ...string) {
	s.set.GetOrCreateGauge(fullName(name, labels), f)
}

// Histogram returns a histogram of seconds, creating it at need.
func (s *Set) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fullName(name, labels))
}

// ObserveDuration adds a duration to a histogram of seconds.
func ObserveDuration(h *metrics.Histogram, d time.Duration) { h.Update(d.Seconds()) }

// Write prints the metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func fullName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	full := name + "{"
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			full += ","
		}
		full += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
	}
	return full + "}"
}
