package dispatch

import (
	"math/rand/v2"
	"slices"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/table"
)

// pickEndpoint returns an endpoint of the service that was not tried yet, or nil. With
// avoidLimited, it is one that has not named a rate limit.
func (d *Dispatcher) pickEndpoint(service string, tried []*table.Endpoint, avoidLimited bool) *table.Endpoint {
	all := d.endpoints.ForService(service)
	if avoidLimited {
		all = slices.DeleteFunc(slices.Clone(all), func(e *table.Endpoint) bool { return e.Notice().LimitsRate() })
	}
	return pick.Choose(d.clock.Now(), all, d.self.Domain, tried, rand.IntN)
}

// hasUnlimited reports whether the service has an endpoint that was not tried yet and has not
// named a rate limit.
func (d *Dispatcher) hasUnlimited(service string, tried []*table.Endpoint) bool {
	return slices.ContainsFunc(d.endpoints.ForService(service), func(e *table.Endpoint) bool {
		return !e.Notice().LimitsRate() && !slices.Contains(tried, e)
	})
}

// areAllLimited reports whether the service has endpoints and all of them have named a rate limit.
func (d *Dispatcher) areAllLimited(service string) bool {
	return len(d.endpoints.ForService(service)) > 0 && !d.hasUnlimited(service, nil)
}

// observeLoad records the load of an endpoint for the admission of new requests. While only some
// endpoints of a service are rate-limited, the admission level of those says nothing about the
// service, since calls that exceed the limit go on to the others.
func (d *Dispatcher) observeLoad(c *call.Call, f *call.Feedback) {
	if f != nil && f.Notice.LimitsRate() && !d.areAllLimited(c.Service) {
		return
	}
	d.shedder.observe(c, f)
}

// recordOutcome updates the load and failure statistics of an endpoint after an attempt,
// and ejects the endpoint if it failed too often.
func (d *Dispatcher) recordOutcome(e *table.Endpoint, r *call.Result) {
	now := d.clock.Now()
	if r.Feedback != nil {
		e.Load().RecordFeedback(now, r.Feedback)
		d.endpoints.RecordNotice(e, r.Feedback.Notice)
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

// isEndpointFault reports whether the endpoint itself caused the call to fail, rather than
// overload or a failed sub-call.
func isEndpointFault(r *call.Result) bool {
	if r.Failure == nil {
		return r.Failed() && !r.SubCallFailed
	}
	return countsForEjection(r.Failure.Reason) || r.Failure.Reason == call.AnswerTruncated || refusedByEndpoint(r)
}

// countsForEjection reports whether a failure with this reason counts towards the ejection
// of the endpoint.
func countsForEjection(reason call.Reason) bool {
	switch reason {
	case call.PeerUnreachable, call.PeerLost, call.BackendUnreachable, call.BackendLost, call.AnswerMalformed, call.NoEndpoint:
		return true
	}
	return false
}
