// Package metric holds the counters, gauges and histograms that a node exposes.
package metric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"comfreycart.dev/comfreycart/internal/call"
)

// Set holds the metrics of one node. All methods are safe for concurrent use.
type Set struct {
	set             *metrics.Set
	refusalCounters map[call.Reason]*metrics.Counter
	retryCounters   map[call.Reason]*metrics.Counter
}

// NewSet returns a set with a counter for every refusal and retry reason.
func NewSet() *Set {
	s := &Set{
		set:             metrics.NewSet(),
		refusalCounters: map[call.Reason]*metrics.Counter{},
		retryCounters:   map[call.Reason]*metrics.Counter{},
	}
	for _, r := range call.Reasons {
		s.refusalCounters[r] = s.Counter("comfreycart_refusals_total", "reason", string(r))
		s.retryCounters[r] = s.Counter("comfreycart_retries_total", "reason", string(r))
	}
	return s
}

// CountRefusal counts a refusal or failure returned to a caller or backend server.
func (s *Set) CountRefusal(r call.Reason) { s.refusalCounters[r].Inc() }

// CountRetry counts a retry sent because of r.
func (s *Set) CountRetry(r call.Reason) { s.retryCounters[r].Inc() }

// Counter returns the counter with the given name and labels, creating it if necessary. The
// labels are alternating names and values.
func (s *Set) Counter(name string, labels ...string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fullName(name, labels))
}

// FloatCounter is like Counter, for amounts that need not be integers.
func (s *Set) FloatCounter(name string, labels ...string) *metrics.FloatCounter {
	return s.set.GetOrCreateFloatCounter(fullName(name, labels))
}

// Gauge registers f as a gauge. If a gauge with the name and labels exists already, it is kept.
func (s *Set) Gauge(name string, f func() float64, labels ...string) {
	s.set.GetOrCreateGauge(fullName(name, labels), f)
}

// Histogram returns the histogram, in seconds, with the given name and labels, creating it if
// necessary.
func (s *Set) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fullName(name, labels))
}

// ObserveDuration adds a duration to a histogram of seconds.
func ObserveDuration(h *metrics.Histogram, d time.Duration) { h.Update(d.Seconds()) }

// Write writes the metrics, including those of the process, in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// fullName returns the name of a metric with its labels in the Prometheus text format.
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
