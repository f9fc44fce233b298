package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/test/property"
)

func TestMain(m *testing.M) { property.Main(m, property.Options{Checks: 20000}) }

const (
	testWindow  = time.Minute
	testTimeout = 2 * time.Second
	testEpochUnix    = 1_800_000_000
)

func testBudget() *MemoryBudget { return NewMemoryBudget(100, MaxAnswerBytes) }

// simulation is a schedule of repeats of one key, homes that change, and messages that
// are lost or late.
type simulation struct {
	t *rapid.T
	// now is the true time; homes and callers are off by at most the margins.
	now       time.Duration
	table      *Table
	homeSkew  time.Duration
	issuedAt    time.Time
	firstRepeat     time.Duration
	keyUsed     bool
	runs      int
	runners   []*runner
	inTransit []*runner
}

// runner is one entry node's attempt.
type runner struct {
	req      Request
	deadline time.Duration
	granted  bool
	ran      bool
	finished     bool
}

func (w *simulation) wallTime(skew time.Duration) time.Time {
	return time.Unix(testEpochUnix, 0).Add(w.now + skew)
}

func (w *simulation) startTerm(first bool) {
	half := int64(NodeClockMargin / 2)
	w.homeSkew = time.Duration(rapid.Int64Range(-half, half).Draw(w.t, "skew"))
	w.table = NewTable(Term{
		First: first, StartedAt: clock.Time(w.now), StartedAtWall: w.wallTime(w.homeSkew),
		GuardTime: testWindow + testTimeout + ReportMargin,
	}, testBudget())
}

// handOver is a planned change of home.
func (w *simulation) handOver() {
	saved, legacy := w.table.Save(clock.Time(w.now))
	var ok bool
	w.table, ok = Restore(clock.Time(w.now), saved, legacy, testBudget())
	require.True(w.t, ok)
}

func (w *simulation) repeat() {
	if !w.keyUsed {
		w.keyUsed, w.firstRepeat = true, w.now
		ahead := time.Duration(rapid.Int64Range(int64(-time.Hour), int64(time.Hour)).Draw(w.t, "caller ahead"))
		if rapid.Bool().Draw(w.t, "dated") {
			w.issuedAt = w.wallTime(ahead)
		}
	}
	r := &runner{deadline: w.now + testTimeout}
	r.req = Request{Window: testWindow, IssuedAt: w.issuedAt}
	r.req.Token[0], r.req.Token[1] = byte(len(w.runners)), byte(len(w.runners)>>8)
	w.runners = append(w.runners, r)
	w.inTransit = append(w.inTransit, r)
}

// deliver hands a question to the present home; it stays with the network if the
// network repeats it.
func (w *simulation) deliver() {
	if len(w.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inTransit)-1).Draw(w.t, "question")
	r := w.inTransit[i]
	if !rapid.Bool().Draw(w.t, "again") {
		w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
	}
	r.req.Timeout = max(r.deadline-w.now, 0)
	v := w.table.Claim(clock.Time(w.now), w.wallTime(w.homeSkew), &r.req)
	if v.Kind == Granted && !r.finished && rapid.Bool().Draw(w.t, "reply arrives") {
		r.granted = true
	}
}

// run lets a granted runner run, unless its deadline passed while it was paused.
func (w *simulation) run() {
	r := w.randomRunner()
	if r == nil || !r.granted || r.ran || r.finished || w.now >= r.deadline {
		return
	}
	r.ran = true
	w.runs++
	require.LessOrEqual(w.t, w.runs, 1, "two runs of one key")
}

// settle reports what a runner came to; it never acts afterwards.
func (w *simulation) settle() {
	r := w.randomRunner()
	if r == nil {
		return
	}
	r.finished = true
	out := Outcome{NotRun: !r.ran}
	if r.ran && rapid.Bool().Draw(w.t, "answered") {
		out.Done, out.Answer = true, &call.Answer{Status: 200}
	}
	if rapid.Bool().Draw(w.t, "report arrives") {
		w.table.Settle(clock.Time(w.now), &r.req, out)
	}
}

func (w *simulation) randomRunner() *runner {
	if len(w.runners) == 0 {
		return nil
	}
	return w.runners[rapid.IntRange(0, len(w.runners)-1).Draw(w.t, "runner")]
}

func (w *simulation) advanceTime() {
	w.now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(w.t, "time"))
}

// One key runs at most once within its window, whatever is lost, late, repeated or
// paused, and however often its home changes.
func TestOneKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t}
		w.startTerm(true)
		steps := rapid.IntRange(5, 80).Draw(t, "steps")
		for range steps {
			if w.keyUsed && w.now-w.firstRepeat >= testWindow {
				return
			}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				w.repeat()
			case 2, 3:
				w.deliver()
			case 4, 5:
				w.run()
			case 6:
				w.settle()
			case 7:
				w.advanceTime()
				switch rapid.IntRange(0, 2).Draw(t, "home") {
				case 1:
					w.startTerm(false)
				case 2:
					w.handOver()
				}
			}
		}
	})
}

func testRequest(token byte) *Request {
	a := &Request{Window: testWindow, Timeout: testTimeout}
	a.Token[0] = token
	return a
}

func TestVerdicts(t *testing.T) {
	wall := time.Unix(testEpochUnix, 0)
	answer := &call.Answer{Status: 201, Body: []byte("done")}
	other := testRequest(2)
	other.Fingerprint[0] = 1
	large := &call.Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)}
	for _, x := range []struct {
		name  string
		out   *Outcome
		after time.Duration
		ask   *Request
		want  Kind
	}{
		{"a repeat while it runs", nil, 0, testRequest(2), Running},
		{"the runner asks again", nil, 0, testRequest(1), Granted},
		{"the runner reported nothing", nil, testTimeout + ReportMargin, testRequest(2), Unknown},
		{"an answer is replayed", &Outcome{Done: true, Answer: answer}, time.Second, testRequest(2), Replay},
		{"an answer too large to keep", &Outcome{Done: true, Answer: large}, 0, testRequest(2), NotKept},
		{"a request that did not run may run", &Outcome{NotRun: true}, 0, testRequest(2), Granted},
		{"who gave up does not run", &Outcome{NotRun: true}, 0, testRequest(1), Unknown},
		{"an unknown outcome stays unknown", &Outcome{}, testWindow - 1, testRequest(2), Unknown},
		{"the window has passed", &Outcome{}, testWindow, testRequest(2), Granted},
		{"another request", nil, 0, other, Mismatch},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := NewTable(Term{First: true}, testBudget())
			require.Equal(t, Granted, b.Claim(0, wall, testRequest(1)).Kind)
			if x.out != nil {
				require.True(t, b.Settle(0, testRequest(1), *x.out))
			}
			require.Equal(t, x.want, b.Claim(clock.Time(x.after), wall, x.ask).Kind)
		})
	}
}

func TestALateClaimOfOneWhoGaveUp(t *testing.T) {
	b := NewTable(Term{First: true}, testBudget())
	require.True(t, b.Settle(0, testRequest(1), Outcome{NotRun: true}))
	require.Equal(t, Unknown, b.Claim(0, time.Unix(testEpochUnix, 0), testRequest(1)).Kind)
	require.Equal(t, Granted, b.Claim(0, time.Unix(testEpochUnix, 0), testRequest(2)).Kind)
}

func TestAFullBookRefusesAndForgetsNothing(t *testing.T) {
	b := NewTable(Term{First: true}, NewMemoryBudget(1, 0))
	require.Equal(t, Granted, b.Claim(0, time.Time{}, testRequest(1)).Kind)
	next := testRequest(2)
	next.Key[0] = 1
	require.Equal(t, Full, b.Claim(0, time.Time{}, next).Kind)
	require.Equal(t, Running, b.Claim(0, time.Time{}, testRequest(2)).Kind)
}

func TestABudgetIsGivenBack(t *testing.T) {
	budget := NewMemoryBudget(1, 100)
	b := NewTable(Term{First: true}, budget)
	require.Equal(t, Granted, b.Claim(0, time.Time{}, testRequest(1)).Kind)
	require.True(t, b.Settle(0, testRequest(1), Outcome{Done: true, Answer: &call.Answer{Body: make([]byte, 60)}}))
	b.Expire(clock.Time(testWindow))
	require.Zero(t, budget.records.Load())
	require.Zero(t, budget.bytes.Load())
	require.Equal(t, Granted, b.Claim(0, time.Time{}, testRequest(1)).Kind)
	b.Close()
	require.Zero(t, budget.records.Load())
}

func TestANewHomeRunsOnlyKeysIssuedInItsTerm(t *testing.T) {
	wall := time.Unix(testEpochUnix, 0)
	term := Term{StartedAtWall: wall, GuardTime: testWindow}
	margin := CallerClockMargin + NodeClockMargin
	for _, x := range []struct {
		issued time.Time
		now    time.Duration
		want   Kind
	}{
		{time.Time{}, 0, Unknown},
		{time.Time{}, testWindow, Granted},
		{wall.Add(margin), margin, Unknown},
		{wall.Add(margin + 1), margin + 1, Granted},
		{wall.Add(margin + CallerClockMargin + 1), margin, IssuedInFuture},
	} {
		a := testRequest(1)
		a.IssuedAt = x.issued
		require.Equal(t, x.want, NewTable(term, testBudget()).Claim(clock.Time(x.now), wall.Add(x.now), a).Kind, "%+v", x)
	}
}
