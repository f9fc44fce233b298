package dispatch

import (
	"math/rand/v2"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/table"
)

// pickEndpoint returns an endpoint that was not tried, or nil.
func (d *Dispatcher) pickEndpoint(service string, tried []*table.Endpoint) *table.Endpoint {
	return pick.Choose(d.clock.Now(), d.endpoints.ForService(service), d.self.Domain, tried, rand.IntN)
}

// recordOutcome records what an attempt told about its endpoint.
func (d *Dispatcher) recordOutcome(e *table.Endpoint, r *call.Result) {
	now := d.clock.Now()
	if r.Feedback != nil {
		e.Load().RecordFeedback(now, r.Feedback)
	}
	e.Load().UpdateFailureRate(now, isEndpointFault(r))
	if r.Failure == nil {
		e.Load().RecordAnswered()
		return
	}
	if countsForEjection(r.Failure.Reason) && e.Load().RecordFailure(now) {
		d.metric.Counter("comfreycart_ejections_total", "reason", string(r.Failure.Reason)).Inc()
	}
}

// isEndpointFault reports whether an endpoint failed a call for a reason of its own: neither
// for want of room nor because of what lies below.
func isEndpointFault(r *call.Result) bool {
	if r.Failure == nil {
		return r.Failed() && !r.SubCallFailed
	}
	return countsForEjection(r.Failure.Reason) || r.Failure.Reason == call.AnswerTruncated || refusedByEndpoint(r)
}

// countsForEjection reports whether a failure counts against the endpoint.
func countsForEjection(r call.Reason) bool {
	switch r {
	case call.PeerUnreachable, call.PeerLost, call.BackendUnreachable, call.BackendLost, call.NoEndpoint:
		return true
	}
	return false
}
