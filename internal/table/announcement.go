package table

import (
	"fmt"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
)

// Ranges of the numbers in an announcement, besides call.MaxSlots.
const (
	// maxSequence is the largest number up to which every whole number can be written in JSON
	// without loss.
	maxSequence = 1 << 53
	// maxWarmUp is the longest time for which an instance may be slow after its start.
	maxWarmUp = time.Hour
	// maxStartAhead is how far the start of an instance may lie ahead of this node's time of day,
	// which may jump by seconds.
	maxStartAhead = 10 * time.Minute
)

// Announcement is what an instance of a backend server reports about itself.
type Announcement struct {
	// Instance is the ID of the instance. It may stay the same across restarts.
	Instance string
	// StartedAt is when the instance started, zero if it is not reported.
	StartedAt time.Time
	// Sequence grows with each announcement since the instance started. It is 0 for a
	// departure, which is not part of the sequence.
	Sequence uint64
	Service  string
	Address  string
	Slots    int
	State    EndpointState
	// WarmUpRemaining is how much longer the instance is slow after its start.
	WarmUpRemaining time.Duration
}

// Validate returns an error unless each number is in its range. now is the time of day.
func (a *Announcement) Validate(now time.Time) error {
	switch {
	case a.Slots < 1 || a.Slots > call.MaxSlots:
		return fmt.Errorf("announcement of %q: %d slots: want 1 to %d", a.Instance, a.Slots, call.MaxSlots)
	case a.Sequence > maxSequence:
		return fmt.Errorf("announcement of %q: sequence %d: want at most %d", a.Instance, a.Sequence, uint64(maxSequence))
	case a.WarmUpRemaining < 0 || a.WarmUpRemaining > maxWarmUp:
		return fmt.Errorf("announcement of %q: %s until it is warm: want 0 to %s", a.Instance, a.WarmUpRemaining, maxWarmUp)
	}
	return a.ValidateStart(now)
}

// ValidateStart returns an error if the start is known and cannot be one. now is the time of day.
func (a *Announcement) ValidateStart(now time.Time) error {
	if a.StartedAt.IsZero() || a.StartedAt.After(time.Unix(0, 0)) && a.StartedAt.Before(now.Add(maxStartAhead)) {
		return nil
	}
	return fmt.Errorf("announcement of %q: start at %d ms: want a time of the past", a.Instance, a.StartedAt.UnixMilli())
}
