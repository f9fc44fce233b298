// Package gossip implements the decisions of a SWIM-style membership protocol: which
// members a node probes, which changes it passes on, which members it suspects or
// declares dead, and how two nodes reconcile member tables that differ. It does no I/O;
// the clock and the random source are passed in.
//
// A Machine is not safe for concurrent use.
package gossip

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/table"
)

// Intervals and timeouts of the protocol.
const (
	// Period is the protocol period, the mean time between two probes sent by one node.
	Period = 500 * time.Millisecond
	// DirectTimeout bounds a direct probe. It exceeds two round trips between regions.
	DirectTimeout = 300 * time.Millisecond
	// IndirectTimeout bounds the indirect probes sent after a direct probe failed.
	IndirectTimeout = 700 * time.Millisecond
	// suspicionPeriods, times the decimal logarithm of the number of members or 1 if that
	// is greater, is how many periods a suspected member has to refute the suspicion.
	suspicionPeriods = 4
	// reconnectInterval is the time between two probes of dead members or contacts. A node
	// that knows no other usable member sends one every period.
	reconnectInterval = 2 * time.Second
	// pushInterval is the minimum time between two pushes of new changes.
	pushInterval = 200 * time.Millisecond
	// pushBytesPerSecond limits the rate of pushes while many members keep changing.
	pushBytesPerSecond = 3 << 10
	// pushBurstBytes is the number of bytes that may be pushed before pushBytesPerSecond
	// applies. It lets a small fleet learn of a restart of all its nodes within a few
	// push intervals.
	pushBurstBytes = 32 << 10
	// compareInterval is the minimum time between two table comparisons (anti-entropy).
	compareInterval = 10 * time.Second
	// joinCompareInterval replaces compareInterval until the node has joined, that is
	// until a comparison has covered all differing buckets.
	joinCompareInterval = 250 * time.Millisecond
	// GoneRetention is how long the record of a dead or left member is kept, so that older
	// records of that member are recognized as stale.
	GoneRetention = 24 * time.Hour
	// sweepInterval is the time between two searches for expired records.
	sweepInterval = time.Minute
	// pauseThreshold is the time between two ticks above which this node must have been
	// paused.
	pauseThreshold = 4 * Period
)

// Counts and sizes of the protocol.
const (
	// IndirectProbeFanout is the number of members asked to probe a target on behalf of a
	// node.
	IndirectProbeFanout = 3
	// pushFanout is the number of members that new changes are pushed to.
	pushFanout = 3
	// leaveFanout is the number of members that a leaving node notifies directly.
	leaveFanout = 8
	// maxChangeBytes bounds the size of the changes carried by one probe, reply or push.
	maxChangeBytes = 900
	// maxCompareBytes bounds the size of the records that each side of a comparison sends.
	// A reply consists of whole buckets and may exceed it by one bucket.
	maxCompareBytes = 8 << 10
	// maxJoinCompareBytes replaces maxCompareBytes in replies to a node that has not yet
	// joined.
	maxJoinCompareBytes = 96 << 10
	// maxContacts bounds the number of contact addresses.
	maxContacts = 64
	// maxHealthScore bounds the health score. A node whose probes fail may itself have the
	// faulty link, so its suspicions last longer the higher the score is.
	maxHealthScore = 8
	// massSuspicionThreshold is the number of simultaneous suspects that is still usual.
	massSuspicionThreshold = 8
	// massSuspicionScale sets the step of the mass suspicion extension: each
	// 1/massSuspicionScale of the members that is suspected beyond the usual number adds
	// one step.
	massSuspicionScale = 50
	// maxMassSuspicionSteps bounds the steps of that extension.
	maxMassSuspicionSteps = 4
	// recordBaseBytes is the encoded size of a usable member's record without its strings
	// and endpoints.
	recordBaseBytes = 32
	// goneRecordBaseBytes is the encoded size of a dead or left member's record without
	// its strings.
	goneRecordBaseBytes = 32
	// endpointBaseBytes is the encoded size of an endpoint without its service name.
	endpointBaseBytes = 20
)

// suspicionTimeout returns how long a member stays suspected before it is declared dead,
// in a fleet of the given number of members. Each extension adds the base timeout once
// more.
func suspicionTimeout(members, extensions int) time.Duration {
	scale := math.Max(1, math.Log10(float64(members)))
	return time.Duration(suspicionPeriods * scale * float64(Period) * float64(1+extensions))
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
