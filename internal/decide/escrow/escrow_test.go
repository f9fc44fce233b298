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
	domains   = 3
	entries   = 4
	// steps is the length of a schedule.
	steps = 1500
)

func TestMain(m *testing.M) { property.Main(m, property.Options{}) }

// owner is a process that is a home, maybe of a domain that has a newer owner.
type owner struct {
	home *Home
	// until ends its lease.
	until   clock.Time
	limits  Limits
	install clock.Time
}

// world is homes, holders and the messages between them.
type world struct {
	rng      *rand.Rand
	now      clock.Time
	ids      uint64
	owners   []*owner
	byDomain [domains]*owner
	purses   [entries]*Purse
	messages []func()
	events   []func()
	spends   []clock.Time
	// full and lowered are the whole account's limits before and after loweredAt.
	full, lowered Limits
	loweredAt     clock.Time
}

func part(l Limits) Limits { return Limits{l.Cap / domains, l.Rate / domains} }

// schedule returns the source of one schedule's choices. Rapid's own numbers lean
// to the ends of their ranges, which makes schedules that hardly spend.
func schedule(t *rapid.T) *rand.Rand {
	order := make([]byte, 32)
	for i := range order {
		order[i] = byte(i)
	}
	return rand.New(rand.NewChaCha8([32]byte(rapid.Permutation(order).Draw(t, "schedule"))))
}

func (w *world) between(low, high int) int { return low + w.rng.IntN(high-low+1) }

func newWorld(t *rapid.T) *world {
	w := &world{rng: schedule(t), now: clock.Time(time.Hour)}
	w.full = Limits{
		Cap:  float64(w.between(1, 60)),
		Rate: float64(w.between(0, 120)),
	}
	w.lowered = w.full
	for d := range domains {
		w.elect(d, NewFullHome(w.now, part(w.full)))
	}
	for i := range w.purses {
		w.purses[i] = &Purse{}
	}
	w.weigh()
	return w
}

const forever = clock.Time(1 << 62)

func (w *world) elect(d int, h *Home) {
	o := &owner{home: h, until: forever, limits: part(w.full), install: forever}
	if w.loweredAt != 0 {
		o.install = w.loweredAt
	}
	w.owners = append(w.owners, o)
	w.byDomain[d] = o
}

func (w *world) next() uint64 {
	w.ids++
	return w.ids
}

// send queues a message, maybe twice.
func (w *world) send(m func()) {
	w.messages = append(w.messages, m)
	if w.between(0, 9) == 0 {
		w.messages = append(w.messages, m)
	}
}

func (w *world) limitsOf(o *owner) Limits {
	if w.now < o.install {
		return o.limits
	}
	return part(w.lowered)
}

func (w *world) source(o *owner) Source {
	for i, x := range w.owners {
		if x == o {
			return Source{Incarnation: uint64(i)}
		}
	}
	panic("unknown owner")
}

// draw asks an owner for tokens, as a node or as another home.
func (w *world) draw(o *owner, to *Purse, fromHome bool) {
	asked, source := w.now, w.source(o)
	want := float64(w.between(1, 15))
	w.send(func() {
		if w.now >= o.until {
			return
		}
		o.home.Advance(w.now, w.limitsOf(o))
		grant := o.home.Grant
		if fromHome {
			grant = o.home.GrantOwn
		}
		grants := grant(w.now, want, w.next)
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

// settle sends the reports of a holder.
func (w *world) settle(p *Purse) {
	for source, reports := range p.Settle(w.now, w.between(0, 9) == 0) {
		o := w.owners[source.Incarnation]
		for _, r := range reports {
			w.send(func() {
				o.home.Advance(w.now, w.limitsOf(o))
				o.home.Report(r)
			})
		}
	}
}

// anyHome returns some domain's owner, now and then a former one.
func (w *world) anyHome() *owner {
	if w.between(0, 4) == 0 {
		return w.owners[w.between(0, len(w.owners)-1)]
	}
	return w.byDomain[w.between(0, domains-1)]
}

func (w *world) anyPurse() *Purse {
	return w.purses[w.between(0, entries-1)]
}

func (w *world) spend() {
	for n, p := range w.purses {
		for range w.between(0, 12*(n+1)) {
			if !p.Spend(w.now, 1) {
				break
			}
			w.spends = append(w.spends, w.now)
		}
	}
}

func (w *world) deliver() {
	for range w.between(1, 10) {
		w.deliverOne()
	}
}

// deliverOne hands over some message, or loses it.
func (w *world) deliverOne() {
	if len(w.messages) == 0 {
		return
	}
	i := w.between(0, min(len(w.messages)-1, 5))
	m := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	if w.between(0, 9) > 0 {
		m()
	}
}

// replace gives a domain a new owner; the former one goes on while its lease lasts.
func (w *world) replace() {
	d := w.between(0, domains-1)
	w.byDomain[d].until = w.now.Add(leaseTerm)
	start := w.now.Add(leaseTerm + Term + DriftMargin)
	w.elect(d, NewHome(start, part(w.full)))
}

func (w *world) lower() {
	if w.loweredAt != 0 {
		return
	}
	w.lowered = Limits{w.full.Cap / 2, w.full.Rate / 4}
	w.loweredAt = w.now.Add(leaseTerm)
	for _, o := range w.owners {
		delay := time.Duration(w.between(0, 4000)) * time.Millisecond
		o.install = w.now.Add(delay)
	}
}

// weigh gives each kind of event a weight for this schedule, so that some schedules
// have much of what others lack.
func (w *world) weigh() {
	events := []struct {
		least, most int
		run         func()
	}{
		{3, 6, func() { w.sleep(1, 20) }},
		{0, 1, func() { w.sleep(100, 1300) }},
		{2, 6, func() { w.draw(w.anyHome(), w.anyPurse(), false) }},
		{0, 5, func() { w.draw(w.anyHome(), &w.anyHome().home.Held, true) }},
		{4, 6, w.deliver},
		{1, 6, w.spend},
		{0, 6, func() { w.settle(w.anyPurse()) }},
		{0, 6, func() { w.settle(&w.anyHome().home.Held) }},
	}
	for _, e := range events {
		for range 1 << w.between(e.least, e.most) {
			w.events = append(w.events, e.run)
		}
	}
}

func (w *world) step() {
	if w.between(0, 499) == 0 {
		w.rare()
		return
	}
	w.events[w.between(0, len(w.events)-1)]()
}

func (w *world) sleep(low, high int) {
	w.now = w.now.Add(time.Duration(w.between(low, high)) * time.Millisecond)
}

func (w *world) rare() {
	switch w.between(0, 3) {
	case 0:
		w.sleep(1000, 6000)
	case 1:
		w.replace()
	case 2:
		w.lower()
	case 3:
		*w.anyPurse() = Purse{}
	}
}

// over returns by how much the fullest window of spends exceeds the limits.
func over(spends []clock.Time, l Limits) float64 {
	most, least := 0.0, 0.0
	for i, t := range spends {
		at := l.Rate * time.Duration(t).Seconds()
		if i == 0 || float64(i)-at < least {
			least = float64(i) - at
		}
		most = max(most, float64(i+1)-at-least)
	}
	return most - l.Cap
}

// The spends of a whole account stay within burst + rate * window in every window,
// whatever is lost, delayed, repeated, paused, restarted or replaced; after a rate
// was lowered, within the new one once the older grants have ended.
func TestNoWindowHoldsMoreThanRateAndBurst(t *testing.T) {
	t.Logf("rapid seed %s", flag.Lookup("rapid.seed").Value)
	spent := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range steps {
			w.step()
		}
		spent += len(w.spends)
		if x := over(w.spends, w.full); x > 1e-6 {
			t.Fatalf("a window holds %.3f tokens too many", x)
		}
		if w.loweredAt == 0 {
			return
		}
		var late []clock.Time
		for _, s := range w.spends {
			if s > w.loweredAt.Add(Term+DriftMargin) {
				late = append(late, s)
			}
		}
		if x := over(late, w.lowered); x > 1e-6 {
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
	l := part(Limits{Cap: 10, Rate: 1})
	a, b, c := NewFullHome(now, l), NewFullHome(now, l), NewFullHome(now, l)
	for i, other := range []*Home{b, c} {
		for _, g := range other.GrantOwn(now, 10, next) {
			a.Held.Add(now, now, Source{Incarnation: uint64(i)}, g)
		}
	}
	var p Purse
	for _, g := range a.Grant(now, 20, next) {
		p.Add(now, now, Source{}, g)
	}
	require.True(t, p.Spend(now, 10))
	require.False(t, p.Spend(now, 1))
}

const start = clock.Time(time.Hour)

func counter() func() uint64 {
	id := uint64(0)
	return func() uint64 { id++; return id }
}

// What is granted takes room until its end, so nothing accrues meanwhile.
func TestNothingAccruesWithoutRoom(t *testing.T) {
	l := Limits{Cap: 5, Rate: 5}
	h := NewFullHome(start, l)
	h.GrantOwn(start, 5, counter())
	end := start.Add(Term + DriftMargin)
	h.Advance(end.Add(100*time.Millisecond), l)
	require.InDelta(t, 0.5, h.Level(), 1e-9)
}

// Reports hold totals: an older or repeated one changes nothing.
func TestReportsHoldTotals(t *testing.T) {
	l := Limits{Cap: 10}
	h := NewFullHome(start, l)
	g := h.GrantOwn(start, 6, counter())[0]
	for _, r := range []Report{{g.ID, 2, 0}, {g.ID, 3, 1}, {g.ID, 2, 0}, {g.ID, 3, 1}} {
		h.Report(r)
	}
	require.InDelta(t, 2.0, h.Outstanding(), 1e-9)
	require.InDelta(t, 5.0, h.Level(), 1e-9)
}

// What a home lends ends before the grant that it was lent from.
func TestLoanEndsBeforeItsGrant(t *testing.T) {
	h := NewHome(start, Limits{Cap: 5})
	h.Held.Add(start, start, Source{}, Grant{ID: 9, Tokens: 3, Term: Term})
	now := start.Add(600 * time.Millisecond)
	h.Advance(now, Limits{Cap: 5})
	g := h.Grant(now, 3, counter())
	require.Len(t, g, 1)
	require.LessOrEqual(t, now.Add(g[0].Term+DriftMargin), start.Add(Term))
}

// A lowered burst counts at once, also for what has accrued.
func TestLoweredBurstCutsTheLevel(t *testing.T) {
	h := NewFullHome(start, Limits{Cap: 10, Rate: 10})
	h.GrantOwn(start, 3, counter())
	h.Advance(start, Limits{Cap: 4, Rate: 10})
	require.InDelta(t, 1.0, h.Level(), 1e-9)
}

// What a predecessor's holders may still spend takes room at the heir until its term
// has ended, so that both together never exceed the capacity.
func TestHeirNeverExceedsTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Cap: float64(rapid.IntRange(1, 50).Draw(t, "cap")), Rate: float64(rapid.IntRange(1, 100).Draw(t, "rate"))}
		next := func() uint64 { return uint64(rapid.IntRange(1, 1<<30).Draw(t, "id")) }
		old := NewFullHome(0, l)
		var spendable float64
		for _, g := range old.Grant(0, float64(rapid.IntRange(0, 60).Draw(t, "granted")), next) {
			spendable += g.Tokens
		}
		now := clock.Time(rapid.IntRange(0, 900).Draw(t, "ms")) * clock.Time(time.Millisecond)
		old.Advance(now, l)
		heir := Inherit(now, l, old.Estate())
		for now < clock.Time(Term) {
			heir.Advance(now, l)
			require.LessOrEqual(t, heir.Level()+spendable, l.Cap+1e-6)
			now = now.Add(50 * time.Millisecond)
		}
		heir.Advance(now.Add(10*time.Second), l)
		require.InDelta(t, min(l.Cap, heir.Level()+100*l.Rate), l.Cap, 1e-6)
	})
}
