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
	wallZero    = 1_800_000_000
)

func testBudget() *Budget { return NewBudget(100, MaxAnswerBytes) }

// world is a schedule of repeats of one key, homes that change, and messages that
// are lost or late.
type world struct {
	t *rapid.T
	// now is the true time; homes and callers are off by at most the margins.
	now       time.Duration
	book      *Book
	homeSkew  time.Duration
	issued    time.Time
	first     time.Duration
	asked     bool
	runs      int
	runners   []*runner
	questions []*runner
}

// runner is one entry node's attempt.
type runner struct {
	ask      Ask
	deadline time.Duration
	granted  bool
	ran      bool
	gone     bool
}

func (w *world) wall(skew time.Duration) time.Time {
	return time.Unix(wallZero, 0).Add(w.now + skew)
}

func (w *world) begin(first bool) {
	half := int64(NodeClockMargin / 2)
	w.homeSkew = time.Duration(rapid.Int64Range(-half, half).Draw(w.t, "skew"))
	w.book = NewBook(Term{
		First: first, Began: clock.Time(w.now), BeganWall: w.wall(w.homeSkew),
		Guard: testWindow + testTimeout + LapseMargin,
	}, testBudget())
}

// handOver is a planned change of home.
func (w *world) handOver() {
	saved, legacy := w.book.Save(clock.Time(w.now))
	var ok bool
	w.book, ok = Restore(clock.Time(w.now), saved, legacy, testBudget())
	require.True(w.t, ok)
}

func (w *world) repeat() {
	if !w.asked {
		w.asked, w.first = true, w.now
		ahead := time.Duration(rapid.Int64Range(int64(-time.Hour), int64(time.Hour)).Draw(w.t, "caller ahead"))
		if rapid.Bool().Draw(w.t, "dated") {
			w.issued = w.wall(ahead)
		}
	}
	r := &runner{deadline: w.now + testTimeout}
	r.ask = Ask{Window: testWindow, Issued: w.issued}
	r.ask.Token[0], r.ask.Token[1] = byte(len(w.runners)), byte(len(w.runners)>>8)
	w.runners = append(w.runners, r)
	w.questions = append(w.questions, r)
}

// deliver hands a question to the present home; it stays with the network if the
// network repeats it.
func (w *world) deliver() {
	if len(w.questions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.questions)-1).Draw(w.t, "question")
	r := w.questions[i]
	if !rapid.Bool().Draw(w.t, "again") {
		w.questions = append(w.questions[:i:i], w.questions[i+1:]...)
	}
	r.ask.Timeout = max(r.deadline-w.now, 0)
	v := w.book.Take(clock.Time(w.now), w.wall(w.homeSkew), &r.ask)
	if v.Kind == Granted && !r.gone && rapid.Bool().Draw(w.t, "reply arrives") {
		r.granted = true
	}
}

// run lets a granted runner run, unless its deadline passed while it was paused.
func (w *world) run() {
	r := w.any()
	if r == nil || !r.granted || r.ran || r.gone || w.now >= r.deadline {
		return
	}
	r.ran = true
	w.runs++
	require.LessOrEqual(w.t, w.runs, 1, "two runs of one key")
}

// settle reports what a runner came to; it never acts afterwards.
func (w *world) settle() {
	r := w.any()
	if r == nil {
		return
	}
	r.gone = true
	out := Outcome{NotRun: !r.ran}
	if r.ran && rapid.Bool().Draw(w.t, "answered") {
		out.Done, out.Answer = true, &call.Answer{Status: 200}
	}
	if rapid.Bool().Draw(w.t, "report arrives") {
		w.book.Settle(clock.Time(w.now), &r.ask, out)
	}
}

func (w *world) any() *runner {
	if len(w.runners) == 0 {
		return nil
	}
	return w.runners[rapid.IntRange(0, len(w.runners)-1).Draw(w.t, "runner")]
}

func (w *world) pass() {
	w.now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(w.t, "time"))
}

// One key runs at most once within its window, whatever is lost, late, repeated or
// paused, and however often its home changes.
func TestOneKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		w.begin(true)
		steps := rapid.IntRange(5, 80).Draw(t, "steps")
		for range steps {
			if w.asked && w.now-w.first >= testWindow {
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
				w.pass()
				switch rapid.IntRange(0, 2).Draw(t, "home") {
				case 1:
					w.begin(false)
				case 2:
					w.handOver()
				}
			}
		}
	})
}

func ask(token byte) *Ask {
	a := &Ask{Window: testWindow, Timeout: testTimeout}
	a.Token[0] = token
	return a
}

func TestVerdicts(t *testing.T) {
	wall := time.Unix(wallZero, 0)
	answer := &call.Answer{Status: 201, Body: []byte("done")}
	other := ask(2)
	other.Fingerprint[0] = 1
	large := &call.Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)}
	for _, x := range []struct {
		name  string
		out   *Outcome
		after time.Duration
		ask   *Ask
		want  Kind
	}{
		{"a repeat while it runs", nil, 0, ask(2), Running},
		{"the runner asks again", nil, 0, ask(1), Granted},
		{"the runner reported nothing", nil, testTimeout + LapseMargin, ask(2), Unknown},
		{"an answer is replayed", &Outcome{Done: true, Answer: answer}, time.Second, ask(2), Replay},
		{"an answer too large to keep", &Outcome{Done: true, Answer: large}, 0, ask(2), NotKept},
		{"a request that did not run may run", &Outcome{NotRun: true}, 0, ask(2), Granted},
		{"who gave up does not run", &Outcome{NotRun: true}, 0, ask(1), Unknown},
		{"an unknown outcome stays unknown", &Outcome{}, testWindow - 1, ask(2), Unknown},
		{"the window has passed", &Outcome{}, testWindow, ask(2), Granted},
		{"another request", nil, 0, other, Mismatch},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := NewBook(Term{First: true}, testBudget())
			require.Equal(t, Granted, b.Take(0, wall, ask(1)).Kind)
			if x.out != nil {
				require.True(t, b.Settle(0, ask(1), *x.out))
			}
			require.Equal(t, x.want, b.Take(clock.Time(x.after), wall, x.ask).Kind)
		})
	}
}

func TestALateClaimOfOneWhoGaveUp(t *testing.T) {
	b := NewBook(Term{First: true}, testBudget())
	require.True(t, b.Settle(0, ask(1), Outcome{NotRun: true}))
	require.Equal(t, Unknown, b.Take(0, time.Unix(wallZero, 0), ask(1)).Kind)
	require.Equal(t, Granted, b.Take(0, time.Unix(wallZero, 0), ask(2)).Kind)
}

func TestAFullBookRefusesAndForgetsNothing(t *testing.T) {
	b := NewBook(Term{First: true}, NewBudget(1, 0))
	require.Equal(t, Granted, b.Take(0, time.Time{}, ask(1)).Kind)
	next := ask(2)
	next.Key[0] = 1
	require.Equal(t, Full, b.Take(0, time.Time{}, next).Kind)
	require.Equal(t, Running, b.Take(0, time.Time{}, ask(2)).Kind)
}

func TestABudgetIsGivenBack(t *testing.T) {
	budget := NewBudget(1, 100)
	b := NewBook(Term{First: true}, budget)
	require.Equal(t, Granted, b.Take(0, time.Time{}, ask(1)).Kind)
	require.True(t, b.Settle(0, ask(1), Outcome{Done: true, Answer: &call.Answer{Body: make([]byte, 60)}}))
	b.Expire(clock.Time(testWindow))
	require.Zero(t, budget.records.Load())
	require.Zero(t, budget.bytes.Load())
	require.Equal(t, Granted, b.Take(0, time.Time{}, ask(1)).Kind)
	b.Close()
	require.Zero(t, budget.records.Load())
}

func TestANewHomeRunsOnlyKeysIssuedInItsTerm(t *testing.T) {
	wall := time.Unix(wallZero, 0)
	term := Term{BeganWall: wall, Guard: testWindow}
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
		{wall.Add(margin + CallerClockMargin + 1), margin, Future},
	} {
		a := ask(1)
		a.Issued = x.issued
		require.Equal(t, x.want, NewBook(term, testBudget()).Take(clock.Time(x.now), wall.Add(x.now), a).Kind, "%+v", x)
	}
}
