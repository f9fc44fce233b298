// Package evidence decides how long a node may serve with its current version of the
// settings before it must confirm that no newer version is in force. It does no I/O and
// takes the time from its caller.
//
// The head row at the platform names the newest version. A version is settled (committed)
// once it is the head and a majority of the members has installed it. A stamp states that
// no version above its own was settled at a certain time. A node gets a stamp by reading
// the head row or by a quorum round, in which a majority of the members confirms a
// version. A version is fenced once no node acts on an older version any more: either all
// owners named by older versions have confirmed it, or all stamps of older versions have
// expired.
package evidence

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// MaxStampAge is the age up to which a stamp lets a node serve keyed routes.
	MaxStampAge = 4 * time.Second
	// DriftMargin covers the drift between the clocks of two VMs over MaxStampAge.
	DriftMargin = 200 * time.Millisecond
	// RoundTriggerAge is the age of the youngest stamp above which a node needs a quorum
	// round.
	RoundTriggerAge = time.Second
)

// Kind is the source of a stamp.
type Kind int

// The kinds of stamps.
const (
	// Platform stamps come from reading the head row.
	Platform Kind = iota
	// Majority stamps come from quorum rounds.
	Majority

	kindCount // the number of kinds
)

// Stamp states that at some moment, which is not before At, no version above Version was
// settled.
type Stamp struct {
	Version uint64
	// At is read from this node's clock. The zero value means that there is no stamp.
	At clock.Time
}

// AgedStamp is a stamp as nodes send it to each other: with its age, since their clocks
// cannot be compared.
type AgedStamp struct {
	Kind    Kind
	Version uint64
	Age     time.Duration
}

// Status is what a node reports to others about its settings.
type Status struct {
	// Installed is the version in force at the node, 0 if there is none.
	Installed uint64
	// Known is the highest version that the node has learned of.
	Known uint64
	// Settled is the highest version that the node knows to be settled.
	Settled uint64
	// Fenced is the highest version that the node knows to be fenced.
	Fenced uint64
	// Stamps holds the node's stamps that are not older than MaxStampAge.
	Stamps []AgedStamp
}

// settledVersion is a version with the time at which this node learned that it is settled.
type settledVersion struct {
	version   uint64
	learnedAt clock.Time
}

// State is what one node knows about the versions of its settings. It is not safe for
// concurrent use.
type State struct {
	start     clock.Time
	installed uint64
	known     uint64
	stamps    [kindCount]Stamp
	// settled holds versions in ascending order. Those below the highest one that is
	// fenced by time are dropped.
	settled []settledVersion
	// markedFenced is the highest version recorded by MarkFenced, 0 if there is none.
	markedFenced uint64
}

// New returns the state of a node that started at start, which must be above 0.
func New(start clock.Time) *State { return &State{start: start} }

// Installed returns the version in force, 0 if there is none.
func (s *State) Installed() uint64 { return s.installed }

// Known returns the highest version that this node has learned of.
func (s *State) Known() uint64 { return s.known }

// Observe records that a version exists.
func (s *State) Observe(version uint64) { s.known = max(s.known, version) }

// Install puts a version in force unless the one in force is equal or higher, and reports
// whether it did.
func (s *State) Install(version uint64) bool {
	if version <= s.installed {
		return false
	}
	s.installed = version
	s.Observe(version)
	return true
}

// AddStamp keeps a stamp if it is younger than the last one of its kind and its version is
// not above the one in force.
func (s *State) AddStamp(k Kind, stamp Stamp) {
	if k < 0 || k >= kindCount || stamp.Version > s.installed {
		return
	}
	if s.stamps[k].At.Before(stamp.At) {
		s.stamps[k] = stamp
	}
}

// Fresh reports whether this node may serve with the version in force at now.
func (s *State) Fresh(now clock.Time) bool {
	return s.installed > 0 && s.StampAge(now) <= MaxStampAge
}

// StampAge returns the age of the youngest stamp. Without one it is above MaxStampAge and
// grows from the node's start on.
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

// Confirms reports whether this node confirms a version in a quorum round: the version is
// in force, the node knows no higher one, and it has caught up since its start.
func (s *State) Confirms(version uint64) bool {
	return s.installed == version && s.known == version && s.caughtUp()
}

// caughtUp reports whether the node is certain to know every version that an earlier
// incarnation of it confirmed. Either it read the head row after its start, or it has a
// stamp of a quorum round that began after every round that the earlier incarnation
// confirmed had ended: a round ends within MaxStampAge.
func (s *State) caughtUp() bool {
	if s.start.Before(s.stamps[Platform].At) {
		return true
	}
	return s.start.Add(MaxStampAge + DriftMargin).Before(s.stamps[Majority].At)
}

// MarkSettled records that this node learned at now that a version is settled.
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

// Settled returns the highest version known to be settled, 0 if there is none.
func (s *State) Settled() uint64 {
	if len(s.settled) == 0 {
		return 0
	}
	return s.settled[len(s.settled)-1].version
}

// Fenced reports whether at now every node that acted on a version below the given one
// is certain to have stopped.
func (s *State) Fenced(version uint64, now clock.Time) bool {
	return version <= s.highestFenced(now)
}

// MarkFenced records at now that a version is fenced without waiting for older stamps to
// expire: either every node that an older version may name as an owner has confirmed the
// version, or another node reports it as fenced.
func (s *State) MarkFenced(version uint64, now clock.Time) {
	s.MarkSettled(version, now)
	s.markedFenced = max(s.markedFenced, version)
}

// highestFenced returns the highest version that is fenced at now, whether recorded by
// MarkFenced or fenced by time.
func (s *State) highestFenced(now clock.Time) uint64 {
	highest := s.markedFenced
	for _, v := range s.settled {
		if fencedByTime(v, now) {
			highest = max(highest, v.version)
		}
	}
	return highest
}

// fencedByTime reports whether a settled version is fenced by time: every stamp that lets
// a node act on an older version has expired.
func fencedByTime(v settledVersion, now clock.Time) bool {
	return now.Sub(v.learnedAt) > MaxStampAge+DriftMargin
}

// Status returns what to report to another node at now.
func (s *State) Status(now clock.Time) Status {
	status := Status{Installed: s.installed, Known: s.known, Settled: s.Settled(), Fenced: s.highestFenced(now)}
	for k, stamp := range s.stamps {
		if stamp.At != 0 && now.Sub(stamp.At) <= MaxStampAge {
			status.Stamps = append(status.Stamps, AgedStamp{Kind(k), stamp.Version, now.Sub(stamp.At)})
		}
	}
	return status
}

// MergeStatus merges what another node reported. This node sent its request at asked and
// received the reply at now. The ages of the stamps count from the request, so that they
// are not understated. Install the reported version before the call, or its stamps are
// ignored.
func (s *State) MergeStatus(status Status, asked, now clock.Time) {
	s.Observe(status.Known)
	s.MarkSettled(status.Settled, now)
	s.MarkFenced(status.Fenced, now)
	for _, stamp := range status.Stamps {
		if stamp.Age >= 0 {
			s.AddStamp(stamp.Kind, Stamp{stamp.Version, asked.Add(-stamp.Age)})
		}
	}
}

// NeedsRound reports whether this node needs a quorum round at now: the youngest stamp is
// older than RoundTriggerAge, or the version in force is not known to be settled.
func (s *State) NeedsRound(now clock.Time) bool {
	return s.installed > 0 && (s.StampAge(now) > RoundTriggerAge || s.Settled() < s.installed)
}
