package escrow

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/test/property"
)

const (
	// leaseTerm is how long a former owner may go on; see settingsync.
	leaseTerm = 4 * time.Second
	domainCount   = 3
	holderCount   = 4
	// scheduleSteps is the length of a schedule.
	scheduleSteps = 1500
)

func TestMain(m *testing.M) { property.Main(m, property.Options{}) }

// owner is a process that is a home, maybe of a domain that has a newer owner.
type owner struct {
	bucket *Bucket
	// leaseEnd ends its lease.
	leaseEnd   clock.Time
	limits  Limits
	installAt clock.Time
}

// simulation is homes, holders and the messages between them.
type simulation struct {
	rng      *rand.Rand
	now      clock.Time
	lastID      uint64
	owners   []*owner
	byDomain [domainCount]*owner
	pools   [holderCount]*TokenPool
	messages []func()
	events   []func()
	spends   []clock.Time
	// full and lowered are the whole account's limits before and after loweredAt.
	full, lowered Limits
	loweredAt     clock.Time
}

func perDomain(l Limits) Limits { return Limits{l.Burst / domainCount, l.Rate / domainCount} }

// newScheduleRand returns the source of one schedule's choices. Rapid's own numbers lean
// to the ends of their ranges, which makes schedules that hardly spend.
func newScheduleRand(t *rapid.T) *rand.Rand {
	order := make([]byte, 32)
	for i := range order {
		order[i] = byte(i)
	}
	return rand.New(rand.NewChaCha8([32]byte(rapid.Permutation(order).Draw(t, "schedule"))))
}

func (w *simulation) intBetween(low, high int) int { return low + w.rng.IntN(high-low+1) }

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{rng: newScheduleRand(t), now: clock.Time(time.Hour)}
	w.full = Limits{
		Burst:  float64(w.intBetween(1, 60)),
		Rate: float64(w.intBetween(0, 120)),
	}
	w.lowered = w.full
	for d := range domainCount {
		w.setOwner(d, NewFullBucket(w.now, perDomain(w.full)))
	}
	for i := range w.pools {
		w.pools[i] = &TokenPool{}
	}
	w.weightEvents()
	return w
}

const never = clock.Time(1 << 62)

func (w *simulation) setOwner(d int, h *Bucket) {
	o := &owner{bucket: h, leaseEnd: never, limits: perDomain(w.full), installAt: never}
	if w.loweredAt != 0 {
		o.installAt = w.loweredAt
	}
	w.owners = append(w.owners, o)
	w.byDomain[d] = o
}

func (w *simulation) nextID() uint64 {
	w.lastID++
	return w.lastID
}

// send queues a message, maybe twice.
func (w *simulation) send(m func()) {
	w.messages = append(w.messages, m)
	if w.intBetween(0, 9) == 0 {
		w.messages = append(w.messages, m)
	}
}

func (w *simulation) limitsOf(o *owner) Limits {
	if w.now < o.installAt {
		return o.limits
	}
	return perDomain(w.lowered)
}

func (w *simulation) source(o *owner) Source {
	for i, x := range w.owners {
		if x == o {
			return Source{Incarnation: uint64(i)}
		}
	}
	panic("unknown owner")
}

// draw asks an owner for tokens, as a node or as another home.
func (w *simulation) draw(o *owner, to *TokenPool, fromHome bool) {
	asked, source := w.now, w.source(o)
	want := float64(w.intBetween(1, 15))
	w.send(func() {
		if w.now >= o.leaseEnd {
			return
		}
		o.bucket.Advance(w.now, w.limitsOf(o))
		grant := o.bucket.Grant
		if fromHome {
			grant = o.bucket.GrantOwn
		}
		grants := grant(w.now, want, w.nextID)
		answered := false
		w.send(func() {
			if answered {
				return
			}
			answered = true
			for _, g := range grants {
				to.Add(w.now, asked, source, g)
			}
		})
	})
}

// sendReports sends the reports of a holder.
func (w *simulation) sendReports(p *TokenPool) {
	for source, reports := range p.DrainReports(w.now, w.intBetween(0, 9) == 0) {
		o := w.owners[source.Incarnation]
		for _, r := range reports {
			w.send(func() {
				o.bucket.Advance(w.now, w.limitsOf(o))
				o.bucket.ApplyReport(r)
			})
		}
	}
}

// randomOwner returns some domain's owner, now and then a former one.
func (w *simulation) randomOwner() *owner {
	if w.intBetween(0, 4) == 0 {
		return w.owners[w.intBetween(0, len(w.owners)-1)]
	}
	return w.byDomain[w.intBetween(0, domainCount-1)]
}

func (w *simulation) randomPool() *TokenPool {
	return w.pools[w.intBetween(0, holderCount-1)]
}

func (w *simulation) spend() {
	for n, p := range w.pools {
		for range w.intBetween(0, 12*(n+1)) {
			if !p.Spend(w.now, 1) {
				break
			}
			w.spends = append(w.spends, w.now)
		}
	}
}

func (w *simulation) deliver() {
	for range w.intBetween(1, 10) {
		w.deliverOne()
	}
}

// deliverOne hands over some message, or loses it.
func (w *simulation) deliverOne() {
	if len(w.messages) == 0 {
		return
	}
	i := w.intBetween(0, min(len(w.messages)-1, 5))
	m := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	if w.intBetween(0, 9) > 0 {
		m()
	}
}

// replaceOwner gives a domain a new owner; the former one goes on while its lease lasts.
func (w *simulation) replaceOwner() {
	d := w.intBetween(0, domainCount-1)
	w.byDomain[d].leaseEnd = w.now.Add(leaseTerm)
	start := w.now.Add(leaseTerm + GrantTerm + DriftMargin)
	w.setOwner(d, NewBucket(start, perDomain(w.full)))
}

func (w *simulation) lowerLimits() {
	if w.loweredAt != 0 {
		return
	}
	w.lowered = Limits{w.full.Burst / 2, w.full.Rate / 4}
	w.loweredAt = w.now.Add(leaseTerm)
	for _, o := range w.owners {
		delay := time.Duration(w.intBetween(0, 4000)) * time.Millisecond
		o.installAt = w.now.Add(delay)
	}
}

// weightEvents gives each kind of event a weight for this schedule, so that some schedules
// have much of what others lack.
func (w *simulation) weightEvents() {
	events := []struct {
		least, most int
		run         func()
	}{
		{3, 6, func() { w.sleep(1, 20) }},
		{0, 1, func() { w.sleep(100, 1300) }},
		{2, 6, func() { w.draw(w.randomOwner(), w.randomPool(), false) }},
		{0, 5, func() { w.draw(w.randomOwner(), &w.randomOwner().bucket.Borrowed, true) }},
		{4, 6, w.deliver},
		{1, 6, w.spend},
		{0, 6, func() { w.sendReports(w.randomPool()) }},
		{0, 6, func() { w.sendReports(&w.randomOwner().bucket.Borrowed) }},
	}
	for _, e := range events {
		for range 1 << w.intBetween(e.least, e.most) {
			w.events = append(w.events, e.run)
		}
	}
}

func (w *simulation) step() {
	if w.intBetween(0, 499) == 0 {
		w.rareEvent()
		return
	}
	w.events[w.intBetween(0, len(w.events)-1)]()
}

func (w *simulation) sleep(low, high int) {
	w.now = w.now.Add(time.Duration(w.intBetween(low, high)) * time.Millisecond)
}

func (w *simulation) rareEvent() {
	switch w.intBetween(0, 3) {
	case 0:
		w.sleep(1000, 6000)
	case 1:
		w.replaceOwner()
	case 2:
		w.lowerLimits()
	case 3:
		*w.randomPool() = TokenPool{}
	}
}

// excess returns by how much the fullest window of spends exceeds the limits.
func excess(spends []clock.Time, l Limits) float64 {
	most, least := 0.0, 0.0
	for i, t := range spends {
		at := l.Rate * time.Duration(t).Seconds()
		if i == 0 || float64(i)-at < least {
			least = float64(i) - at
		}
		most = max(most, float64(i+1)-at-least)
	}
	return most - l.Burst
}

// The spends of a whole account stay within burst + rate * window in every window,
// whatever is lost, delayed, repeated, paused, restarted or replaced; after a rate
// was lowered, within the new one once the older grants have ended.
func TestNoWindowHoldsMoreThanRateAndBurst(t *testing.T) {
	t.Logf("rapid seed %s", flag.Lookup("rapid.seed").Value)
	spent := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range scheduleSteps {
			w.step()
		}
		spent += len(w.spends)
		if x := excess(w.spends, w.full); x > 1e-6 {
			t.Fatalf("a window holds %.3f tokens too many", x)
		}
		if w.loweredAt == 0 {
			return
		}
		var late []clock.Time
		for _, s := range w.spends {
			if s > w.loweredAt.Add(GrantTerm+DriftMargin) {
				late = append(late, s)
			}
		}
		if x := excess(late, w.lowered); x > 1e-6 {
			t.Fatalf("a window after the rate was lowered holds %.3f tokens too many", x)
		}
	})
	require.Positive(t, spent)
	t.Logf("%d tokens spent", spent)
}

// A home out of tokens gets those of the others to its holders, so that the whole
// burst can be spent at one node.
func TestWholeBurstAtOneNode(t *testing.T) {
	now := clock.Time(time.Hour)
	id := uint64(0)
	next := func() uint64 { id++; return id }
	l := perDomain(Limits{Burst: 10, Rate: 1})
	a, b, c := NewFullBucket(now, l), NewFullBucket(now, l), NewFullBucket(now, l)
	for i, other := range []*Bucket{b, c} {
		for _, g := range other.GrantOwn(now, 10, next) {
			a.Borrowed.Add(now, now, Source{Incarnation: uint64(i)}, g)
		}
	}
	var p TokenPool
	for _, g := range a.Grant(now, 20, next) {
		p.Add(now, now, Source{}, g)
	}
	require.True(t, p.Spend(now, 10))
	require.False(t, p.Spend(now, 1))
}

const start = clock.Time(time.Hour)

func newIDs() func() uint64 {
	id := uint64(0)
	return func() uint64 { id++; return id }
}

// What is granted takes room until its end, so nothing accrues meanwhile.
func TestGrantedTokensPreventAccrual(t *testing.T) {
	l := Limits{Burst: 5, Rate: 5}
	h := NewFullBucket(start, l)
	h.GrantOwn(start, 5, newIDs())
	end := start.Add(GrantTerm + DriftMargin)
	h.Advance(end.Add(100*time.Millisecond), l)
	require.InDelta(t, 0.5, h.Level(), 1e-9)
}

// Reports hold totals: an older or repeated one changes nothing.
func TestReportsAreCumulative(t *testing.T) {
	l := Limits{Burst: 10}
	h := NewFullBucket(start, l)
	g := h.GrantOwn(start, 6, newIDs())[0]
	for _, r := range []Report{{g.ID, 2, 0}, {g.ID, 3, 1}, {g.ID, 2, 0}, {g.ID, 3, 1}} {
		h.ApplyReport(r)
	}
	require.InDelta(t, 2.0, h.Outstanding(), 1e-9)
	require.InDelta(t, 5.0, h.Level(), 1e-9)
}

// What a home lends ends before the grant that it was lent from.
func TestLoanEndsBeforeItsGrant(t *testing.T) {
	h := NewBucket(start, Limits{Burst: 5})
	h.Borrowed.Add(start, start, Source{}, Grant{ID: 9, Tokens: 3, Term: GrantTerm})
	now := start.Add(600 * time.Millisecond)
	h.Advance(now, Limits{Burst: 5})
	g := h.Grant(now, 3, newIDs())
	require.Len(t, g, 1)
	require.LessOrEqual(t, now.Add(g[0].Term+DriftMargin), start.Add(GrantTerm))
}

// A lowered burst counts at once, also for what has accrued.
func TestLoweredBurstReducesLevel(t *testing.T) {
	h := NewFullBucket(start, Limits{Burst: 10, Rate: 10})
	h.GrantOwn(start, 3, newIDs())
	h.Advance(start, Limits{Burst: 4, Rate: 10})
	require.InDelta(t, 1.0, h.Level(), 1e-9)
}

// What a predecessor's holders may still spend takes room at the heir until its term
// has ended, so that both together never exceed the capacity.
func TestRestoredBucketNeverExceedsBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Burst: float64(rapid.IntRange(1, 50).Draw(t, "cap")), Rate: float64(rapid.IntRange(1, 100).Draw(t, "rate"))}
		next := func() uint64 { return uint64(rapid.IntRange(1, 1<<30).Draw(t, "id")) }
		old := NewFullBucket(0, l)
		var spendable float64
		for _, g := range old.Grant(0, float64(rapid.IntRange(0, 60).Draw(t, "granted")), next) {
			spendable += g.Tokens
		}
		now := clock.Time(rapid.IntRange(0, 900).Draw(t, "ms")) * clock.Time(time.Millisecond)
		old.Advance(now, l)
		heir := RestoreBucket(now, l, old.State())
		for now < clock.Time(GrantTerm) {
			heir.Advance(now, l)
			require.LessOrEqual(t, heir.Level()+spendable, l.Burst+1e-6)
			now = now.Add(50 * time.Millisecond)
		}
		heir.Advance(now.Add(10*time.Second), l)
		require.InDelta(t, min(l.Burst, heir.Level()+100*l.Rate), l.Burst, 1e-6)
	})
}
