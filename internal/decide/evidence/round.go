package evidence

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// QuorumRound is a quorum round: it counts the members that confirm one version.
type QuorumRound struct {
	version uint64
	started clock.Time
	// minMembers is the smallest number of members of which a majority must confirm.
	minMembers int
	// largestView is the largest number of members that a node of the round knows.
	largestView int
	// counted is the number of members counted, whether they confirmed or not.
	counted   int
	confirmed int
}

// NewQuorumRound begins a round at a node that knows the given number of members, itself
// included. The version in force was accepted among at least minMembers members; a
// majority of fewer does not count.
func NewQuorumRound(version uint64, started clock.Time, members, minMembers int) *QuorumRound {
	return &QuorumRound{version: version, started: started, minMembers: minMembers, largestView: members}
}

// Tally is the result of a round in one range of members.
type Tally struct {
	// Members is the number of members in the range, Confirmed the number of those that
	// confirmed the version.
	Members, Confirmed int
	// LargestView is the largest number of members of the whole fleet that one of them
	// knows.
	LargestView int
}

// Add adds the tally of a range. The ranges of a round must not overlap.
func (r *QuorumRound) Add(t Tally) {
	r.counted += t.Members
	r.confirmed += min(t.Members, t.Confirmed)
	r.largestView = max(r.largestView, t.LargestView, r.counted)
}

// LargestView returns the largest number of members that a node of the round knows.
func (r *QuorumRound) LargestView() int { return r.largestView }

// Result returns the stamp of the round, and whether a majority confirmed within
// MaxStampAge of its beginning. The stamp's time is the beginning of the round.
func (r *QuorumRound) Result(now clock.Time) (Stamp, bool) {
	if 2*r.confirmed <= max(r.minMembers, r.largestView) || now.Sub(r.started) > MaxStampAge {
		return Stamp{}, false
	}
	return Stamp{r.version, r.started}, true
}

const (
	// maxDomainReadsPerSecond bounds the mean rate at which the nodes of one failure domain
	// that are not isolated read the head row.
	maxDomainReadsPerSecond = 20
	// minPollInterval is the mean time between reads by an isolated node, or by one node in
	// a small failure domain.
	minPollInterval = 500 * time.Millisecond
	// isolationThreshold is the time without an answer from another node above which a
	// node is isolated.
	isolationThreshold = 2 * time.Second
	// maxMembersPerRange bounds the members that one node asks in a quorum round.
	maxMembersPerRange = 64
	// minNotified is the number of members notified of a complete round in a fleet of few
	// ranges, and notifiedPerRange the number of them per range in a larger fleet.
	minNotified      = 64
	notifiedPerRange = 4
	// fleetRoundsPerTick is the mean number of rounds that the whole fleet begins per
	// tick if all nodes need one.
	fleetRoundsPerTick = 2.0
)

// PollInterval returns the mean time between one node's reads of the head row, in a
// failure domain of the given number of members. An isolated node gets stamps only by its
// own reads and polls at the shortest interval.
func PollInterval(domainMembers int, isolated bool) time.Duration {
	if isolated {
		return minPollInterval
	}
	return max(minPollInterval, time.Duration(domainMembers)*time.Second/maxDomainReadsPerSecond)
}

// Isolated reports whether a node counts as isolated, given the time since its last answer
// from another node.
func Isolated(silence time.Duration) bool { return silence > isolationThreshold }

// RoundProbability returns the probability with which a node that needs a quorum round
// begins one in a tick.
func RoundProbability(members int) float64 {
	return min(1, fleetRoundsPerTick/float64(max(1, members)))
}

// RangeCount returns the number of ranges that the members of a quorum round are split
// into.
func RangeCount(members int) int {
	return max(1, (members+maxMembersPerRange-1)/maxMembersPerRange)
}

// NotifyCount returns the number of members that are notified of a complete round at
// once. The others learn of it by their periodic pulls.
func NotifyCount(members int) int {
	return min(members, max(minNotified, notifiedPerRange*RangeCount(members)))
}
