package dispatch

import (
	"math/rand/v2"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/table"
)

// pick returns an endpoint that was not tried, or nil.
func (d *Dispatcher) pick(service string, tried []*table.Endpoint) *table.Endpoint {
	return pick.Choose(d.clock.Now(), d.endpoints.Of(service), d.self.Domain, tried, rand.IntN)
}

// learn records what an attempt told about its endpoint.
func (d *Dispatcher) learn(e *table.Endpoint, r *call.Result) {
	now := d.clock.Now()
	if r.Feedback != nil {
		e.Load().RecordFeedback(now, r.Feedback)
	}
	e.Load().UpdateFailureRate(now, failedAlone(r))
	if r.Failure == nil {
		e.Load().RecordAnswered()
		return
	}
	if blamed(r.Failure.Reason) && e.Load().RecordFailure(now) {
		d.metric.Counter("comfreycart_ejections_total", "reason", string(r.Failure.Reason)).Inc()
	}
}

// failedAlone reports whether an endpoint failed a call for a reason of its own: neither
// for want of room nor because of what lies below.
func failedAlone(r *call.Result) bool {
	if r.Failure == nil {
		return r.Failed() && !r.FailedBelow
	}
	return blamed(r.Failure.Reason) || r.Failure.Reason == call.AnswerTruncated || refusedThere(r)
}

// blamed reports whether a failure counts against the endpoint.
func blamed(r call.Reason) bool {
	switch r {
	case call.PeerUnreachable, call.PeerLost, call.BackendUnreachable, call.BackendLost, call.NoEndpoint:
		return true
	}
	return false
}
