package shares

import (
	"sync"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// domainLimits returns one domain's part of an account's rate and burst.
func (m *Manager) domainLimits(v *settings.View, account string, now clock.Time) escrow.Limits {
	a := v.Accounts[account]
	n := float64(m.divisor.current(v, now))
	return escrow.Limits{Burst: a.Burst / n, Rate: a.Rate / n}
}

// shareDomains returns the failure domains that share the accounts' tokens.
func shareDomains(v *settings.View) []string {
	if v.FailureDomains != nil {
		return v.FailureDomains
	}
	return homes.ShareDomains(v.Tree.Homes)
}

// divisor is the number of domains over which each account's bucket is split. A larger
// number in the settings takes effect at once. A smaller one takes effect only when no
// node acts on the older number any more and the grants made under it have expired;
// otherwise the parts would add up to more than the whole bucket. It is safe for
// concurrent use.
type divisor struct {
	fence Fence

	mu   sync.Mutex
	view *settings.View
	// inView is the number in view, changedIn the settings version that set it.
	inView    int
	changedIn uint64
	// inForce is the number in use.
	inForce int
	// fencedAt is when version changedIn was first known to be in force everywhere, 0
	// before.
	fencedAt clock.Time
}

// current returns the number in use, given the settings in force at this node.
func (d *divisor) current(v *settings.View, now clock.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view != v {
		d.update(v)
	}
	if d.inView >= d.inForce {
		d.inForce = d.inView
		return d.inForce
	}
	if d.fencedAt == 0 && d.fence.Fenced(d.changedIn) {
		d.fencedAt = now
	}
	if d.fencedAt != 0 && now.Sub(d.fencedAt) > escrow.GrantTerm+escrow.DriftMargin {
		d.inForce = d.inView
	}
	return d.inForce
}

// update reads the number of domains from v, unless v is older than the view read last.
func (d *divisor) update(v *settings.View) {
	if d.view != nil && v.Version < d.view.Version {
		return
	}
	d.view = v
	n := max(1, len(shareDomains(v)))
	if n != d.inView {
		d.inView, d.changedIn, d.fencedAt = n, v.Version, 0
	}
}
