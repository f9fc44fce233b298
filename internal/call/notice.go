package call

import "time"

// Notice is what an instance of a backend server states in its answers for all nodes that send
// it calls. The nodes send it back with their calls, so that the node beside the backend server
// knows it again after a restart. A notice must not be changed once created.
type Notice struct {
	// Instance is the ID of the instance, and StartedAt its start, zero if that is unknown.
	Instance  string
	StartedAt time.Time
	// RateLimited is set if the instance takes no more than Rate requests a second from all
	// nodes together.
	RateLimited bool
	Rate        float64
	// Leaving is set if the instance takes no new calls any more. It never takes any again.
	Leaving bool
}

// MaxRate is the largest rate limit, in requests a second.
const MaxRate = 1e9

// IsRate reports whether rate is a rate limit: a number from 0 to MaxRate.
func IsRate(rate float64) bool { return rate >= 0 && rate <= MaxRate }

// IsFrom reports whether an instance with the given ID and start has stated the notice. An unknown
// start matches any.
func (n *Notice) IsFrom(instance string, startedAt time.Time) bool {
	return n.Instance == instance && (n.StartedAt.IsZero() || startedAt.IsZero() || n.StartedAt.Equal(startedAt))
}

// LimitsRate reports whether n, which may be nil, states a rate limit.
func (n *Notice) LimitsRate() bool { return n != nil && n.RateLimited }

// IsLeaving reports whether n, which may be nil, states that the instance is leaving.
func (n *Notice) IsLeaving() bool { return n != nil && n.Leaving }

// Equal reports whether two notices, each of which may be nil, state the same.
func (n *Notice) Equal(m *Notice) bool {
	if n == nil || m == nil {
		return n == m
	}
	return n.IsFrom(m.Instance, m.StartedAt) && n.RateLimited == m.RateLimited && n.Rate == m.Rate && n.Leaving == m.Leaving
}
