package table

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// candidate is an announced instance that is not known to be alive.
type candidate struct {
	Announcement
	// firstAnnouncedAt and announcedAt are when its first and its last announcement arrived.
	firstAnnouncedAt, announcedAt clock.Time
}

// departure is the departure of an instance.
type departure struct {
	// startedAt is the start of the instance that departed, zero if it is not known.
	startedAt time.Time
	// at is when this node took the departure.
	at clock.Time
}

const (
	// maxDepartures bounds the departures that are kept. One VM has few instances in a day.
	maxDepartures = 64
	// trustedTimeoutFraction is the fraction of the timeout for which a candidate must have gone on
	// announcing itself before it is used without a health check. It exceeds one interval between
	// two announcements, so that a few late ones that arrive together do not suffice.
	trustedTimeoutFraction = 0.25
)

// Candidate returns the instance of a service that waits for its health check.
func (t *LocalBackends) Candidate(service string) (Announcement, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.candidates[service]
	if c == nil {
		return Announcement{}, false
	}
	return c.Announcement, true
}

// CandidateAdded returns a channel that receives a value when there is a new candidate.
func (t *LocalBackends) CandidateAdded() <-chan struct{} { return t.candidateAdded }

// ApplyHealth applies the answer of a health check that was asked at the given time: the instance
// in a accepts calls. A candidate that is this instance becomes the backend server of its service;
// one that is another instance is dropped. If no backend server of the service is known, the
// instance becomes it if its slots are known. ApplyHealth reports whether the instance became
// the backend server.
func (t *LocalBackends) ApplyHealth(a Announcement, asked, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.departures[a.Instance]; ok && !d.at.Before(asked) {
		// The answer may be from before the departure.
		return false
	}
	if c := t.candidates[a.Service]; c != nil {
		if c.Instance == a.Instance {
			t.use(c, now)
			return true
		}
		if c.announcedAt.Before(asked) {
			delete(t.candidates, a.Service)
		}
	}
	if _, known := t.rows[a.Service]; known || a.Slots == 0 {
		return false
	}
	t.put(a, now)
	return true
}

// ApplyUnchecked makes the candidate of a service that has no health check its backend server, once
// it has gone on announcing itself for a part of the timeout. It reports whether there is no
// candidate left.
func (t *LocalBackends) ApplyUnchecked(service string, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.candidates[service]
	if c == nil {
		return true
	}
	if c.announcedAt.Sub(c.firstAnnouncedAt) < time.Duration(trustedTimeoutFraction*float64(t.timeout)) {
		return false
	}
	t.use(c, now)
	return true
}

// use makes a candidate the backend server of its service. The caller holds t.mu.
func (t *LocalBackends) use(c *candidate, now clock.Time) {
	delete(t.candidates, c.Service)
	t.put(c.Announcement, now)
}

// addCandidate adds the announced instance as the candidate of its service, or updates it. The caller
// holds t.mu.
func (t *LocalBackends) addCandidate(a Announcement, now clock.Time) Acceptance {
	next := &candidate{Announcement: a, firstAnnouncedAt: now, announcedAt: now}
	if c := t.candidates[a.Service]; c != nil {
		if a.StartedAt.Before(c.StartedAt) {
			return Outdated
		}
		if c.Instance == a.Instance && c.StartedAt.Equal(a.StartedAt) {
			if a.Sequence <= c.Sequence {
				return Outdated
			}
			next.firstAnnouncedAt = c.firstAnnouncedAt
		}
	}
	t.candidates[a.Service] = next
	select {
	case t.candidateAdded <- struct{}{}:
	default:
		// The receiver has not taken the last value yet and will see this candidate too.
	}
	return Unconfirmed
}

// removeCandidate removes the candidate of a service if it is the given instance. The caller holds
// t.mu.
func (t *LocalBackends) removeCandidate(service, instance string) {
	if c := t.candidates[service]; c != nil && c.Instance == instance {
		delete(t.candidates, service)
	}
}

// hasDeparted reports whether a is an announcement of a start that is known to have departed. If one
// of the two starts is not known, the health check tells. The caller holds t.mu.
func (t *LocalBackends) hasDeparted(a *Announcement) bool {
	d, ok := t.departures[a.Instance]
	return ok && !d.startedAt.IsZero() && !a.StartedAt.IsZero() && !a.StartedAt.After(d.startedAt)
}

// recordDeparture keeps the departure of an instance, of which this process may not have known, and
// drops its candidate. The oldest departure makes room. The caller holds t.mu.
func (t *LocalBackends) recordDeparture(instance string, d departure) {
	for service, c := range t.candidates {
		if c.Instance == instance && (d.startedAt.IsZero() || !c.StartedAt.After(d.startedAt)) {
			delete(t.candidates, service)
		}
	}
	old, known := t.departures[instance]
	if known && d.startedAt.Before(old.startedAt) {
		d.startedAt = old.startedAt
	}
	if !known && len(t.departures) >= maxDepartures {
		oldest := ""
		for id, kept := range t.departures {
			if oldest == "" || kept.at.Before(t.departures[oldest].at) {
				oldest = id
			}
		}
		delete(t.departures, oldest)
	}
	t.departures[instance] = d
}
