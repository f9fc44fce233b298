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

// reportQueue are those on their way to the homes that the grants came from. Safe for
// concurrent use.
type reportQueue struct {
	mu   sync.Mutex
	batches map[escrow.Source]*reportBatch
}

// reportBatch is the reports for one home, the oldest of which waits since a time.
type reportBatch struct {
	reports []*peerpb.GrantReport
	since   clock.Time
}

func (r *reportQueue) add(now clock.Time, s escrow.Source, list []*peerpb.GrantReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.batches == nil {
		r.batches = map[escrow.Source]*reportBatch{}
	}
	p := r.batches[s]
	if p == nil {
		p = &reportBatch{since: now}
		r.batches[s] = p
	}
	p.reports = append(p.reports, list...)
}

// take removes and returns the reports for a home.
func (r *reportQueue) take(s escrow.Source) []*peerpb.GrantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.batches[s]
	if p == nil {
		return nil
	}
	delete(r.batches, s)
	return p.reports
}

// takeDue removes and returns the reports that wait no longer, or all.
func (r *reportQueue) takeDue(now clock.Time, all bool) map[escrow.Source][]*peerpb.GrantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[escrow.Source][]*peerpb.GrantReport{}
	for s, p := range r.batches {
		if all || s.Address == "" || now.Sub(p.since) >= reportDelay {
			out[s] = p.reports
			delete(r.batches, s)
		}
	}
	return out
}

// flushReports reports the use of grants to the homes that they came from. A report that is lost
// costs the home its tokens until the grant's term ends.
func (m *Manager) flushReports(ctx context.Context, now clock.Time, all bool) {
	for i := range m.shards {
		for _, s := range m.shards[i].collectReports(now, all) {
			for source, list := range s.reports {
				m.reports.add(now, source, reportsToProto(s.account, list))
			}
		}
	}
	due := m.reports.takeDue(now, all)
	done := make(chan struct{}, len(due))
	for source, list := range due {
		go func() {
			_, _ = m.sendDraw(ctx, source, &peerpb.DrawRequest{Reports: list}, fetchTimeout)
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

func reportsToProto(account string, reports []escrow.Report) []*peerpb.GrantReport {
	out := make([]*peerpb.GrantReport, len(reports))
	for i, r := range reports {
		out[i] = &peerpb.GrantReport{Account: account, Grant: r.GrantID, Spent: r.Spent, Returned: r.Returned}
	}
	return out
}
