package shares

import (
	"context"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// reportDelay is how long a report waits for a draw from the same home that it can be
// sent with. Spent tokens take up room in the home's bucket until they are reported, so
// the delay is only a fifth of a grant's term.
const reportDelay = 200 * time.Millisecond

// reportQueue holds the reports that wait to be sent to the homes that made the grants.
// It is safe for concurrent use.
type reportQueue struct {
	mu      sync.Mutex
	batches map[escrow.Source]*reportBatch
}

// reportBatch holds the reports for one home.
type reportBatch struct {
	reports []*peerpb.GrantReport
	// since is when the oldest of them was added.
	since clock.Time
}

func (r *reportQueue) add(now clock.Time, s escrow.Source, list []*peerpb.GrantReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.batches == nil {
		r.batches = map[escrow.Source]*reportBatch{}
	}
	b := r.batches[s]
	if b == nil {
		b = &reportBatch{since: now}
		r.batches[s] = b
	}
	b.reports = append(b.reports, list...)
}

// take removes and returns the reports for a home.
func (r *reportQueue) take(s escrow.Source) []*peerpb.GrantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.batches[s]
	if b == nil {
		return nil
	}
	delete(r.batches, s)
	return b.reports
}

// takeDue removes and returns the reports for homes whose oldest report has waited for
// reportDelay, or all if all is set. Reports for this node itself never wait.
func (r *reportQueue) takeDue(now clock.Time, all bool) map[escrow.Source][]*peerpb.GrantReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[escrow.Source][]*peerpb.GrantReport{}
	for s, b := range r.batches {
		if all || s.Address == "" || now.Sub(b.since) >= reportDelay {
			out[s] = b.reports
			delete(r.batches, s)
		}
	}
	return out
}

// flushReports collects the reports on the use of grants and sends those that are due. If
// all is set, it returns all tokens, sends all reports and waits until they were sent. The
// tokens of a report that is lost stay missing from the home's bucket until the grant's
// term ends.
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
