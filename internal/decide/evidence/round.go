package evidence

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Round counts the members that confirm one version.
type Round struct {
	version   uint64
	started   clock.Time
	members   int
	told      int
	confirmed int
}

// NewRound begins a round among so many members, the asking one included.
func NewRound(version uint64, started clock.Time, members int) *Round {
	return &Round{version: version, started: started, members: members}
}

// Add counts one range of members: how many there are and how many confirmed. The
// ranges of a round share no member.
func (r *Round) Add(members, confirmed int) {
	r.told += members
	r.confirmed += min(members, confirmed)
}

// Complete returns the stamp that the round gives, if a majority confirmed in time.
func (r *Round) Complete(now clock.Time) (Stamp, bool) {
	members := max(r.members, r.told)
	if 2*r.confirmed <= members || now.Sub(r.started) > FreshFor {
		return Stamp{}, false
	}
	return Stamp{r.version, r.started}, true
}

const (
	// domainReads is what one failure domain reads of the head row, per second.
	domainReads = 20
	// minPollInterval is the pause between one node's reads in a small domain.
	minPollInterval = 500 * time.Millisecond
	// membersPerRange bounds the members that one node asks in a round.
	membersPerRange = 64
	// minTold and toldPerRange bound how many members hear at once of a round.
	minTold      = 64
	toldPerRange = 4
	// roundsPerTick is how many rounds the whole fleet begins in one tick.
	roundsPerTick = 2.0
)

// PollInterval is the mean pause between one node's reads of the head row, in a
// failure domain of so many members.
func PollInterval(domainMembers int) time.Duration {
	return max(minPollInterval, time.Duration(domainMembers)*time.Second/domainReads)
}

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
