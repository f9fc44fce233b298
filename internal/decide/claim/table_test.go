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
	// testEpochUnix is the wall time at which the tests start, in seconds since 1970.
	testEpochUnix = 1_800_000_000
)

func testBudget() *MemoryBudget { return NewMemoryBudget(100, MaxAnswerBytes) }

// simulation is a random schedule of repeats of one key, with changes of the home and
// messages that are lost or delayed.
type simulation struct {
	t *rapid.T
	// now is the true time. The wall clocks of homes differ from it by at most half of
	// NodeClockMargin, the caller's clock by up to an hour.
	now      time.Duration
	table    *Table
	homeSkew time.Duration
	issuedAt time.Time
	// firstRepeat is when the key was first used; keyUsed is set from then on.
	firstRepeat time.Duration
	keyUsed     bool
	runs        int
	runners     []*runner
	// inTransit holds the runners whose claim requests are in the network.
	inTransit []*runner
}

// runner is one attempt of an entry node to run the request.
type runner struct {
	req      Request
	deadline time.Duration
	granted  bool
	ran      bool
	// finished is set once the runner has reported its outcome and no longer acts.
	finished bool
}

func (s *simulation) wallTime(skew time.Duration) time.Time {
	return time.Unix(testEpochUnix, 0).Add(s.now + skew)
}

func (s *simulation) startTerm(first bool) {
	half := int64(NodeClockMargin / 2)
	s.homeSkew = time.Duration(rapid.Int64Range(-half, half).Draw(s.t, "skew"))
	s.table = NewTable(Term{
		First: first, StartedAt: clock.Time(s.now), StartedAtWall: s.wallTime(s.homeSkew),
		GuardTime: testWindow + testTimeout + ReportMargin,
	}, testBudget())
}

// handOver is a planned change of the home.
func (s *simulation) handOver() {
	saved, info := s.table.Save(clock.Time(s.now))
	var ok bool
	s.table, ok = Restore(clock.Time(s.now), saved, info, testBudget())
	require.True(s.t, ok)
}

// repeat sends the request through another entry node.
func (s *simulation) repeat() {
	if !s.keyUsed {
		s.keyUsed, s.firstRepeat = true, s.now
		callerSkew := time.Duration(rapid.Int64Range(int64(-time.Hour), int64(time.Hour)).Draw(s.t, "caller skew"))
		if rapid.Bool().Draw(s.t, "has issue time") {
			s.issuedAt = s.wallTime(callerSkew)
		}
	}
	r := &runner{deadline: s.now + testTimeout}
	r.req = Request{Window: testWindow, IssuedAt: s.issuedAt}
	r.req.Token[0], r.req.Token[1] = byte(len(s.runners)), byte(len(s.runners)>>8)
	s.runners = append(s.runners, r)
	s.inTransit = append(s.inTransit, r)
}

// deliver delivers a claim request to the current home. The request remains in transit
// if the network duplicates it.
func (s *simulation) deliver() {
	if len(s.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(s.t, "request in transit")
	r := s.inTransit[i]
	if !rapid.Bool().Draw(s.t, "duplicated") {
		s.inTransit = append(s.inTransit[:i:i], s.inTransit[i+1:]...)
	}
	r.req.Timeout = max(r.deadline-s.now, 0)
	v := s.table.Claim(clock.Time(s.now), s.wallTime(s.homeSkew), &r.req)
	if v.Kind == Granted && !r.finished && rapid.Bool().Draw(s.t, "reply arrives") {
		r.granted = true
	}
}

// run lets a granted runner run, unless its deadline passed while it was paused.
func (s *simulation) run() {
	r := s.randomRunner()
	if r == nil || !r.granted || r.ran || r.finished || s.now >= r.deadline {
		return
	}
	r.ran = true
	s.runs++
	require.LessOrEqual(s.t, s.runs, 1, "two runs of one key")
}

// settle reports the outcome of a runner, which does not act afterwards.
func (s *simulation) settle() {
	r := s.randomRunner()
	if r == nil {
		return
	}
	r.finished = true
	out := Outcome{NotRun: !r.ran}
	if r.ran && rapid.Bool().Draw(s.t, "answered") {
		out.Done, out.Answer = true, &call.Answer{Status: 200}
	}
	if rapid.Bool().Draw(s.t, "report arrives") {
		s.table.Settle(clock.Time(s.now), &r.req, out)
	}
}

func (s *simulation) randomRunner() *runner {
	if len(s.runners) == 0 {
		return nil
	}
	return s.runners[rapid.IntRange(0, len(s.runners)-1).Draw(s.t, "runner")]
}

func (s *simulation) advanceTime() {
	s.now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(s.t, "time"))
}

// A key's request must run at most once within its window, although messages are lost,
// delayed and repeated, runners pause and the home changes any number of times.
func TestOneKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		s.startTerm(true)
		steps := rapid.IntRange(5, 80).Draw(t, "steps")
		for range steps {
			if s.keyUsed && s.now-s.firstRepeat >= testWindow {
				return
			}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.repeat()
			case 2, 3:
				s.deliver()
			case 4, 5:
				s.run()
			case 6:
				s.settle()
			case 7:
				s.advanceTime()
				switch rapid.IntRange(0, 2).Draw(t, "home") {
				case 1:
					s.startTerm(false)
				case 2:
					s.handOver()
				}
			}
		}
	})
}

func testRequest(token byte) *Request {
	req := &Request{Window: testWindow, Timeout: testTimeout}
	req.Token[0] = token
	return req
}

func TestVerdicts(t *testing.T) {
	wall := time.Unix(testEpochUnix, 0)
	answer := &call.Answer{Status: 201, Body: []byte("done")}
	other := testRequest(2)
	other.Fingerprint[0] = 1
	large := &call.Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)}
	for _, x := range []struct {
		name    string
		outcome *Outcome
		after   time.Duration
		req     *Request
		want    Kind
	}{
		{"a repeat while it runs", nil, 0, testRequest(2), Running},
		{"the runner asks again", nil, 0, testRequest(1), Granted},
		{"the runner reported nothing", nil, testTimeout + ReportMargin, testRequest(2), Unknown},
		{"an answer is replayed", &Outcome{Done: true, Answer: answer}, time.Second, testRequest(2), Replay},
		{"an answer too large to keep", &Outcome{Done: true, Answer: large}, 0, testRequest(2), NotKept},
		{"a request that did not run may run", &Outcome{NotRun: true}, 0, testRequest(2), Granted},
		{"a runner that gave up does not run", &Outcome{NotRun: true}, 0, testRequest(1), Unknown},
		{"an unknown outcome stays unknown", &Outcome{}, testWindow - 1, testRequest(2), Unknown},
		{"the window has passed", &Outcome{}, testWindow, testRequest(2), Granted},
		{"another request", nil, 0, other, Mismatch},
	} {
		t.Run(x.name, func(t *testing.T) {
			table := NewTable(Term{First: true}, testBudget())
			require.Equal(t, Granted, table.Claim(0, wall, testRequest(1)).Kind)
			if x.outcome != nil {
				require.True(t, table.Settle(0, testRequest(1), *x.outcome))
			}
			require.Equal(t, x.want, table.Claim(clock.Time(x.after), wall, x.req).Kind)
		})
	}
}

// A release can overtake its claim. The claim must then not be granted, since its runner
// has given up, but other attempts may claim the key.
func TestReleaseBeforeClaim(t *testing.T) {
	table := NewTable(Term{First: true}, testBudget())
	require.True(t, table.Settle(0, testRequest(1), Outcome{NotRun: true}))
	require.Equal(t, Unknown, table.Claim(0, time.Unix(testEpochUnix, 0), testRequest(1)).Kind)
	require.Equal(t, Granted, table.Claim(0, time.Unix(testEpochUnix, 0), testRequest(2)).Kind)
}

func TestFullTableRefusesNewKeysAndKeepsRecords(t *testing.T) {
	table := NewTable(Term{First: true}, NewMemoryBudget(1, 0))
	require.Equal(t, Granted, table.Claim(0, time.Time{}, testRequest(1)).Kind)
	next := testRequest(2)
	next.Key[0] = 1
	require.Equal(t, Full, table.Claim(0, time.Time{}, next).Kind)
	require.Equal(t, Running, table.Claim(0, time.Time{}, testRequest(2)).Kind)
}

func TestMemoryBudgetIsReleased(t *testing.T) {
	budget := NewMemoryBudget(1, 100)
	table := NewTable(Term{First: true}, budget)
	require.Equal(t, Granted, table.Claim(0, time.Time{}, testRequest(1)).Kind)
	require.True(t, table.Settle(0, testRequest(1), Outcome{Done: true, Answer: &call.Answer{Body: make([]byte, 60)}}))
	table.Expire(clock.Time(testWindow))
	require.Zero(t, budget.records.Load())
	require.Zero(t, budget.bytes.Load())
	require.Equal(t, Granted, table.Claim(0, time.Time{}, testRequest(1)).Kind)
	table.Close()
	require.Zero(t, budget.records.Load())
}

// A new home knows nothing of earlier homes' claims. Until its guard time has passed it
// grants only keys that were certainly issued after its term began.
func TestNewHomeGrantsOnlyKeysIssuedInItsTerm(t *testing.T) {
	wall := time.Unix(testEpochUnix, 0)
	term := Term{StartedAtWall: wall, GuardTime: testWindow}
	margin := CallerClockMargin + NodeClockMargin
	for _, x := range []struct {
		issuedAt time.Time
		now      time.Duration
		want     Kind
	}{
		{time.Time{}, 0, Unknown},
		{time.Time{}, testWindow, Granted},
		{wall.Add(margin), margin, Unknown},
		{wall.Add(margin + 1), margin + 1, Granted},
		{wall.Add(margin + CallerClockMargin + 1), margin, IssuedInFuture},
	} {
		req := testRequest(1)
		req.IssuedAt = x.issuedAt
		require.Equal(t, x.want, NewTable(term, testBudget()).Claim(clock.Time(x.now), wall.Add(x.now), req).Kind, "%+v", x)
	}
}
