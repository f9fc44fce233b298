package shares

import (
	"context"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// reportDelay is how long a report waits for a draw from the same home to go with. Spent
// tokens take room in the home's bucket until then; it is a fifth of a grant's term.
const reportDelay = 200 * time.Millisecond

// reports are those on their way to the homes that the grants came from. Safe for
// concurrent use.
type reports struct {
	mu   sync.Mutex
	rows map[escrow.Source]*parcel
}

// parcel is the reports for one home, the oldest of which waits since a time.
type parcel struct {
	reports []*peerpb.GrantReport
	since   clock.Time
}

func (r *reports) add(now clock.Time, s escrow.Source, list []*peerpb.GrantReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = map[escrow.Source]*parcel{}
	}
	p := r.rows[s]
	if p == nil {
		p = &parcel{since: now}
		r.rows[s] = p
	}
	p.reports = append(p.reports, list...)
}

// take removes and returns the reports for a home.
func (r *reports) take(s escrow.Source) []*peerpb.GrantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.rows[s]
	if p == nil {
		return nil
	}
	delete(r.rows, s)
	return p.reports
}

// due removes and returns the reports that wait no longer, or all.
func (r *reports) due(now clock.Time, all bool) map[escrow.Source][]*peerpb.GrantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[escrow.Source][]*peerpb.GrantReport{}
	for s, p := range r.rows {
		if all || s.Address == "" || now.Sub(p.since) >= reportDelay {
			out[s] = p.reports
			delete(r.rows, s)
		}
	}
	return out
}

// flush reports the use of grants to the homes that they came from. A report that is lost
// costs the home its tokens until the grant's term ends.
func (m *Manager) flush(ctx context.Context, now clock.Time, all bool) {
	for i := range m.shards {
		for _, s := range m.shards[i].settle(now, all) {
			for source, list := range s.reports {
				m.reports.add(now, source, reportsTo(s.account, list))
			}
		}
	}
	due := m.reports.due(now, all)
	done := make(chan struct{}, len(due))
	for source, list := range due {
		go func() {
			_, _ = m.send(ctx, source, &peerpb.DrawRequest{Reports: list}, fetchTimeout)
			done <- struct{}{}
		}()
	}
	for range due {
		if !all {
			return
		}
		<-done
	}
}

func reportsTo(account string, reports []escrow.Report) []*peerpb.GrantReport {
	out := make([]*peerpb.GrantReport, len(reports))
	for i, r := range reports {
		out[i] = &peerpb.GrantReport{Account: account, Grant: r.GrantID, Spent: r.Spent, Returned: r.Returned}
	}
	return out
}
