// Package evidence decides how long a node may trust its settings. It does no I/O
// and takes the time from its caller.
//
// A stamp says that at some moment no version above its own was settled. It is
// had by reading the head row at the platform, or by a round in which a majority
// of the members confirmed a version. A version is settled once it is the head
// and a majority of the members holds it.
package evidence

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// MaxStampAge is how long a stamp lets a node serve keyed routes.
	MaxStampAge = 4 * time.Second
	// DriftMargin covers the drift of two VMs' clocks over FreshFor.
	DriftMargin = 200 * time.Millisecond
	// RoundTriggerAge is the age of the youngest stamp that calls for a round.
	RoundTriggerAge = time.Second
)

// Kind is the source of a stamp.
type Kind int

// The kinds of stamps.
const (
	// Platform stamps come from the head row.
	Platform Kind = iota
	// Majority stamps come from rounds.
	Majority

	kindCount
)

// Stamp says that at moment At, or a later one, no version above Version was settled.
type Stamp struct {
	Version uint64
	// At is on this node's clock; the zero value means no stamp.
	At clock.Time
}

// AgedStamp is a stamp as one node tells it to another.
type AgedStamp struct {
	Kind    Kind
	Version uint64
	Age     time.Duration
}

// Status is what a node tells others of its settings.
type Status struct {
	// Installed is the version in force at the node.
	Installed uint64
	// Known is the highest version that it heard of.
	Known uint64
	// Settled is the highest version that it knows to be settled.
	Settled uint64
	// Fenced is the highest version that it knows to be fenced.
	Fenced uint64
	Stamps []AgedStamp
}

// settledVersion is when this node heard that a version is settled.
type settledVersion struct {
	version uint64
	learnedAt   clock.Time
}

// State is what one node knows of its settings. It is not safe for concurrent use.
type State struct {
	start     clock.Time
	installed uint64
	known     uint64
	stamps    [kindCount]Stamp
	settled   []settledVersion
	// markedFenced is the highest version known to be fenced without waiting.
	markedFenced uint64
}

// New returns the state of a node that started at start, which is above 0.
func New(start clock.Time) *State { return &State{start: start} }

// Installed is the version in force.
func (s *State) Installed() uint64 { return s.installed }

// Known is the highest version that this node heard of.
func (s *State) Known() uint64 { return s.known }

// Observe notes that a version exists.
func (s *State) Observe(version uint64) { s.known = max(s.known, version) }

// Install puts a version in force and reports whether it is above the one in force.
func (s *State) Install(version uint64) bool {
	if version <= s.installed {
		return false
	}
	s.installed = version
	s.Observe(version)
	return true
}

// AddStamp takes a stamp that is younger than what is known and does not speak of a
// version above the one in force.
func (s *State) AddStamp(k Kind, stamp Stamp) {
	if k < 0 || k >= kindCount || stamp.Version > s.installed {
		return
	}
	if s.stamps[k].At.Before(stamp.At) {
		s.stamps[k] = stamp
	}
}

// Fresh reports whether the version in force can be trusted at now.
func (s *State) Fresh(now clock.Time) bool {
	return s.installed > 0 && s.StampAge(now) <= MaxStampAge
}

// StampAge is the age of the youngest stamp, since the start if there is none.
func (s *State) StampAge(now clock.Time) time.Duration {
	youngest := s.stamps[Platform].At
	if youngest.Before(s.stamps[Majority].At) {
		youngest = s.stamps[Majority].At
	}
	if youngest == 0 {
		return MaxStampAge + now.Sub(s.start) + 1
	}
	return now.Sub(youngest)
}

// Confirms reports whether this node counts for a round of a version: it holds
// the version, knows none above, and has caught up since its start.
func (s *State) Confirms(version uint64) bool {
	return s.installed == version && s.known == version && s.caughtUp()
}

// caughtUp reports whether the node surely knows every version that an earlier
// incarnation of it confirmed. A round that the earlier one confirmed has ended
// FreshFor after the start.
func (s *State) caughtUp() bool {
	if s.start.Before(s.stamps[Platform].At) {
		return true
	}
	return s.start.Add(MaxStampAge + DriftMargin).Before(s.stamps[Majority].At)
}

// MarkSettled notes at now that a version is settled.
func (s *State) MarkSettled(version uint64, now clock.Time) {
	if version <= s.Settled() {
		return
	}
	s.Observe(version)
	s.settled = append(s.settled, settledVersion{version, now})
	for len(s.settled) > 1 && fencedByTime(s.settled[1], now) {
		s.settled = s.settled[1:]
	}
}

// Settled is the highest version that is known to be settled.
func (s *State) Settled() uint64 {
	if len(s.settled) == 0 {
		return 0
	}
	return s.settled[len(s.settled)-1].version
}

// Fenced reports whether at now every node that acts on a version below the given
// one has surely stopped.
func (s *State) Fenced(version uint64, now clock.Time) bool {
	return version <= s.highestFenced(now)
}

// MarkFenced notes that every node that an older version may name as an owner confirmed a
// version, or that another node knows it to be fenced: nobody acts on an older one.
func (s *State) MarkFenced(version uint64, now clock.Time) {
	s.MarkSettled(version, now)
	s.markedFenced = max(s.markedFenced, version)
}

func (s *State) highestFenced(now clock.Time) uint64 {
	highest := s.markedFenced
	for _, x := range s.settled {
		if fencedByTime(x, now) {
			highest = max(highest, x.version)
		}
	}
	return highest
}

func fencedByTime(x settledVersion, now clock.Time) bool { return now.Sub(x.learnedAt) > MaxStampAge+DriftMargin }

// Status returns what to tell another node at now.
func (s *State) Status(now clock.Time) Status {
	out := Status{Installed: s.installed, Known: s.known, Settled: s.Settled(), Fenced: s.highestFenced(now)}
	for k, stamp := range s.stamps {
		if stamp.At != 0 && now.Sub(stamp.At) <= MaxStampAge {
			out.Stamps = append(out.Stamps, AgedStamp{Kind(k), stamp.Version, now.Sub(stamp.At)})
		}
	}
	return out
}

// MergeStatus takes in another node's standing that this node asked for at asked and got
// at now. The version that it names is to be installed before.
func (s *State) MergeStatus(x Status, asked, now clock.Time) {
	s.Observe(x.Known)
	s.MarkSettled(x.Settled, now)
	s.MarkFenced(x.Fenced, now)
	for _, a := range x.Stamps {
		if a.Age >= 0 {
			s.AddStamp(a.Kind, Stamp{a.Version, asked.Add(-a.Age)})
		}
	}
}

// NeedsRound reports whether a round would help: the stamps age, or the version in
// force is not known to be settled.
func (s *State) NeedsRound(now clock.Time) bool {
	return s.installed > 0 && (s.StampAge(now) > RoundTriggerAge || s.Settled() < s.installed)
}
