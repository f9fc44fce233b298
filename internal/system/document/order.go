package document

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
)

// restoreSettleTime is how long after a restore of the store the operators may take to write their
// newest document again.
const restoreSettleTime = 2 * time.Second

// documentState is what this node knows of the document.
//
// Documents are ordered by the operators' version alone, since the store may be restored from a copy:
// its row then holds an older document until the operators have written the newest one again. The
// states of the row are ordered by the store's version, which includes the era.
type documentState struct {
	// row holds the installed document, with the newest version of the row that held it; the
	// version is 0 if none is installed.
	row platform.Row
	// newest is the version of the newest document that this node has heard of.
	newest uint64
	// latest is the version of the newest state of the row.
	latest platform.Version
	// isCurrent is set if that state holds the newest document and it is installed.
	isCurrent bool
	// eraSeenAt is when this node first heard of the present era.
	eraSeenAt clock.Time
	// isWritten is set once the document is known to have been written in the present era.
	isWritten bool
	// settledEra is an era that another node has found settled, if hasSettledEra is set.
	settledEra    uint64
	hasSettledEra bool
}

// apply takes a state of the row into account and reports whether its document must be installed.
// view is its document, nil if that is invalid, and installed the installed one, nil if there is none.
func (s *documentState) apply(row platform.Row, view, installed *settings.View, now clock.Time) (install bool) {
	switch {
	case s.latest == 0:
		s.eraSeenAt = now
	case s.isRestored(row):
		s.eraSeenAt, s.isWritten = now, false
	case row.Version > s.latest:
		s.isWritten = true
	}
	if view != nil {
		s.newest = max(s.newest, view.Version)
	}
	isNewest := view != nil && view.Version == s.newest
	install = isNewest && (installed == nil || view.Version > installed.Version)
	if isNewest && !install && row.Version > s.row.Version && row.Version.Number() != s.row.Version.Number() {
		// A copy leaves the numbers of its rows as they were.
		s.isWritten = true
	}
	if install || isNewest && row.Version > s.row.Version {
		s.row = row
	}
	if row.Version >= s.latest {
		s.latest, s.isCurrent = row.Version, isNewest
	}
	return install
}

// isRestored reports whether the store has been restored since the newest known state of the row.
func (s *documentState) isRestored(row platform.Row) bool {
	return s.latest != 0 && row.Version.Era() > s.latest.Era()
}

// hear takes into account that another node knows a document of the given version.
func (s *documentState) hear(version uint64) {
	if version > s.newest {
		s.newest, s.isCurrent = version, false
	}
}

// isConfirmable reports whether an answer of the store confirms the installed document.
func (s *documentState) isConfirmable(now clock.Time) bool { return s.isCurrent && s.isSettled(now) }

// isSettled reports whether the store's document can be taken for the newest one. In an era that may
// have begun a moment ago it cannot before the operators have written theirs again: a document that
// withdraws a key may be lost without any node knowing it.
func (s *documentState) isSettled(now clock.Time) bool {
	return s.latest != 0 && (s.isWritten || s.hasSettledEra && s.settledEra == s.latest.Era() || now.Sub(s.eraSeenAt) >= restoreSettleTime)
}
