package evidence

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Round counts the members that confirm one version.
type Round struct {
	version   uint64
	started   clock.Time
	floor     int
	widest    int
	told      int
	confirmed int
}

// NewRound begins a round of a node that knows so many members, itself included,
// and has a version in force that was accepted among at least floor of them.
func NewRound(version uint64, started clock.Time, members, floor int) *Round {
	return &Round{version: version, started: started, floor: floor, widest: members}
}

// Tally is the answer of one range of members.
type Tally struct {
	// Members is the number of members in the range, and Confirmed that of them
	// who confirmed.
	Members, Confirmed int
	// Widest is the largest number of members in all that one of them knows.
	Widest int
}

// Add counts a range. The ranges of a round share no member.
func (r *Round) Add(t Tally) {
	r.told += t.Members
	r.confirmed += min(t.Members, t.Confirmed)
	r.widest = max(r.widest, t.Widest, r.told)
}

// Widest is the largest number of members that a node of the round knows.
func (r *Round) Widest() int { return r.widest }

// Complete returns the stamp that the round gives, if a majority confirmed in time.
func (r *Round) Complete(now clock.Time) (Stamp, bool) {
	if 2*r.confirmed <= max(r.floor, r.widest) || now.Sub(r.started) > FreshFor {
		return Stamp{}, false
	}
	return Stamp{r.version, r.started}, true
}

const (
	// domainReads is what one failure domain reads of the head row, per second.
	domainReads = 20
	// minPollInterval is the pause between one node's reads in a small domain.
	minPollInterval = 500 * time.Millisecond
	// aloneAfter is how long a node hears from no other before it counts as alone.
	aloneAfter = 2 * time.Second
	// membersPerRange bounds the members that one node asks in a round.
	membersPerRange = 64
	// minTold and toldPerRange bound how many members hear at once of a round.
	minTold      = 64
	toldPerRange = 4
	// roundsPerTick is how many rounds the whole fleet begins in one tick.
	roundsPerTick = 2.0
)

// PollInterval is the mean pause between one node's reads of the head row, in a
// failure domain of so many members. A node that hears from no other depends on
// its own reads alone.
func PollInterval(domainMembers int, alone bool) time.Duration {
	if alone {
		return minPollInterval
	}
	return max(minPollInterval, time.Duration(domainMembers)*time.Second/domainReads)
}

// Alone reports whether a node that last heard from another one so long ago
// depends on its own reads.
func Alone(silence time.Duration) bool { return silence > aloneAfter }

// RoundChance is the probability that a node that wants a round begins one in a tick.
func RoundChance(members int) float64 {
	return min(1, roundsPerTick/float64(max(1, members)))
}

// Ranges is the number of ranges that a round's members are split into.
func Ranges(members int) int {
	return max(1, (members+membersPerRange-1)/membersPerRange)
}

// Told is how many members hear at once of a complete round; the others pull it.
func Told(members int) int {
	return min(members, max(minTold, toldPerRange*Ranges(members)))
}
