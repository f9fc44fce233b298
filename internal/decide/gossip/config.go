// Package gossip decides how a node keeps its table of members: whom to probe, what
// to pass on, whom to suspect, and where two tables differ. It does no I/O; clock
// and randomness are passed in.
//
// A Machine is not safe for concurrent use.
package gossip

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/table"
)

// Times of the protocol.
const (
	// Period is the mean time between two probes of one node.
	Period = 500 * time.Millisecond
	// DirectTimeout bounds a direct probe; it exceeds two round trips between regions.
	DirectTimeout = 300 * time.Millisecond
	// IndirectTimeout bounds the probes through Helpers others.
	IndirectTimeout = 700 * time.Millisecond
	// suspicionPeriods times the decimal logarithm of the fleet's size is how many
	// periods a suspected member has to object.
	suspicionPeriods = 4
	// reconnectInterval is the time between two probes of members believed dead, and of
	// contacts.
	reconnectInterval = 2 * time.Second
	// pushInterval is the least time between two pushes of fresh changes.
	pushInterval = 200 * time.Millisecond
	// pushBytesPerSecond bounds pushes while many members change for long, and pushBurst
	// what may be pushed at once before: a small fleet then learns of a restart of all
	// within a few intervals.
	pushBytesPerSecond = 3 << 10
	pushBurstBytes          = 32 << 10
	// compareInterval is the least time between two comparisons of tables.
	compareInterval = 10 * time.Second
	// joinCompareInterval replaces compareInterval until the first equal comparison.
	joinCompareInterval = 250 * time.Millisecond
	// GoneRetention is how long the record of a dead or left member is kept, so that an
	// older record of it is known to be old.
	GoneRetention = 24 * time.Hour
	// sweepInterval is the time between two searches for ended records.
	sweepInterval = time.Minute
	// pauseThreshold is the time between two ticks that shows that this node was paused.
	pauseThreshold = 4 * Period
)

// Numbers and sizes of the protocol.
const (
	// IndirectProbeFanout is the number of members that probe for another.
	IndirectProbeFanout = 3
	// pushFanout is the number of members that a fresh change is pushed to.
	pushFanout = 3
	// leaveFanout is the number of members that a leaving node tells itself.
	leaveFanout = 8
	// maxChangeBytes bounds the changes in one probe, reply or push.
	maxChangeBytes = 900
	// maxCompareBytes and joinBytes bound the records in one reply to a comparison.
	maxCompareBytes = 8 << 10
	maxJoinCompareBytes    = 96 << 10
	// maxContacts bounds the addresses to join by.
	maxContacts = 64
	// maxHealthScore bounds how much a node that misses answers itself doubts its own link.
	maxHealthScore = 8
	// massSuspicionThreshold is how many suspects at once are usual; above it, suspicion lasts
	// longer by a step for each 1/crowdScale of the fleet, up to crowdMax steps.
	massSuspicionThreshold = 8
	massSuspicionScale  = 50
	maxMassSuspicionSteps    = 4
	// recordBaseBytes, goneBytes and endpointBytes are sizes of records without their
	// strings.
	recordBaseBytes   = 32
	goneRecordBaseBytes     = 32
	endpointBaseBytes = 20
)

// suspicionTimeout is how long a member stays suspected in a fleet of n before it
// counts as dead; a node that misses many answers waits longer.
func suspicionTimeout(n, health int) time.Duration {
	scale := math.Max(1, math.Log10(float64(n)))
	return time.Duration(suspicionPeriods * scale * float64(Period) * float64(1+health))
}

// recordSize estimates the encoded size of a record in bytes.
func recordSize(m *table.Member) int {
	if !m.Usable() {
		return goneRecordBaseBytes + len(m.ID) + len(m.Address)
	}
	n := recordBaseBytes + len(m.ID) + len(m.Address) + len(m.Domain)
	for _, e := range m.Endpoints {
		n += endpointBaseBytes + len(e.Service)
	}
	return n
}
