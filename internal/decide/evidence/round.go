package evidence

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// QuorumRound counts the members that confirm one version.
type QuorumRound struct {
	version   uint64
	started   clock.Time
	minMembers     int
	largestView    int
	counted      int
	confirmed int
}

// NewQuorumRound begins a round of a node that knows so many members, itself included,
// and has a version in force that was accepted among at least floor of them.
func NewQuorumRound(version uint64, started clock.Time, members, floor int) *QuorumRound {
	return &QuorumRound{version: version, started: started, minMembers: floor, largestView: members}
}

// Tally is the answer of one range of members.
type Tally struct {
	// Members is the number of members in the range, and Confirmed that of them
	// who confirmed.
	Members, Confirmed int
	// LargestView is the largest number of members in all that one of them knows.
	LargestView int
}

// Add counts a range. The ranges of a round share no member.
func (r *QuorumRound) Add(t Tally) {
	r.counted += t.Members
	r.confirmed += min(t.Members, t.Confirmed)
	r.largestView = max(r.largestView, t.LargestView, r.counted)
}

// LargestView is the largest number of members that a node of the round knows.
func (r *QuorumRound) LargestView() int { return r.largestView }

// Result returns the stamp that the round gives, if a majority confirmed in time.
func (r *QuorumRound) Result(now clock.Time) (Stamp, bool) {
	if 2*r.confirmed <= max(r.minMembers, r.largestView) || now.Sub(r.started) > MaxStampAge {
		return Stamp{}, false
	}
	return Stamp{r.version, r.started}, true
}

const (
	// maxDomainReadsPerSecond is what one failure domain reads of the head row, per second.
	maxDomainReadsPerSecond = 20
	// minPollInterval is the pause between one node's reads in a small domain.
	minPollInterval = 500 * time.Millisecond
	// isolationThreshold is how long a node hears from no other before it counts as alone.
	isolationThreshold = 2 * time.Second
	// maxMembersPerRange bounds the members that one node asks in a round.
	maxMembersPerRange = 64
	// minNotified and toldPerRange bound how many members hear at once of a round.
	minNotified      = 64
	notifiedPerRange = 4
	// fleetRoundsPerTick is how many rounds the whole fleet begins in one tick.
	fleetRoundsPerTick = 2.0
)

// PollInterval is the mean pause between one node's reads of the head row, in a
// failure domain of so many members. A node that hears from no other depends on
// its own reads alone.
func PollInterval(domainMembers int, alone bool) time.Duration {
	if alone {
		return minPollInterval
	}
	return max(minPollInterval, time.Duration(domainMembers)*time.Second/maxDomainReadsPerSecond)
}

// Isolated reports whether a node that last heard from another one so long ago
// depends on its own reads.
func Isolated(silence time.Duration) bool { return silence > isolationThreshold }

// RoundProbability is the probability that a node that wants a round begins one in a tick.
func RoundProbability(members int) float64 {
	return min(1, fleetRoundsPerTick/float64(max(1, members)))
}

// RangeCount is the number of ranges that a round's members are split into.
func RangeCount(members int) int {
	return max(1, (members+maxMembersPerRange-1)/maxMembersPerRange)
}

// NotifyCount is how many members hear at once of a complete round; the others pull it.
func NotifyCount(members int) int {
	return min(members, max(minNotified, notifiedPerRange*RangeCount(members)))
}
