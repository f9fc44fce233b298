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
	// leaseTerm is how long a replaced owner may still act in the simulation. The real term
	// is lease.Term.
	leaseTerm   = 4 * time.Second
	domainCount = 3
	holderCount = 4
	// scheduleSteps is the number of steps in one random schedule.
	scheduleSteps = 1500
)

func TestMain(m *testing.M) { property.Main(m, property.Options{}) }

// owner is a process that acts as a home, possibly of a domain that already has a newer
// owner.
type owner struct {
	bucket *Bucket
	// leaseEnd is when its lease expires.
	leaseEnd clock.Time
	// limits apply until installAt, the simulation's lowered limits from then on.
	limits    Limits
	installAt clock.Time
}

// simulation is a set of homes and holders and the messages between them.
type simulation struct {
	rng      *rand.Rand
	now      clock.Time
	lastID   uint64
	owners   []*owner
	byDomain [domainCount]*owner
	pools    [holderCount]*TokenPool
	messages []func()
	// events holds each kind of event as often as its weight in this schedule.
	events []func()
	spends []clock.Time
	// full and lowered are the whole account's limits before and after loweredAt.
	full, lowered Limits
	loweredAt     clock.Time
}

func perDomain(l Limits) Limits { return Limits{l.Burst / domainCount, l.Rate / domainCount} }

// newScheduleRand returns the source of one schedule's random choices. It is not rapid
// itself, because rapid's numbers are biased to the ends of their ranges, which makes
// schedules that hardly spend anything.
func newScheduleRand(t *rapid.T) *rand.Rand {
	order := make([]byte, 32)
	for i := range order {
		order[i] = byte(i)
	}
	return rand.New(rand.NewChaCha8([32]byte(rapid.Permutation(order).Draw(t, "schedule"))))
}

func (s *simulation) intBetween(low, high int) int { return low + s.rng.IntN(high-low+1) }

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{rng: newScheduleRand(t), now: clock.Time(time.Hour)}
	s.full = Limits{
		Burst: float64(s.intBetween(1, 60)),
		Rate:  float64(s.intBetween(0, 120)),
	}
	s.lowered = s.full
	for d := range domainCount {
		s.setOwner(d, NewFullBucket(s.now, perDomain(s.full)))
	}
	for i := range s.pools {
		s.pools[i] = &TokenPool{}
	}
	s.weightEvents()
	return s
}

const never = clock.Time(1 << 62)

func (s *simulation) setOwner(domain int, b *Bucket) {
	o := &owner{bucket: b, leaseEnd: never, limits: perDomain(s.full), installAt: never}
	if s.loweredAt != 0 {
		o.installAt = s.loweredAt
	}
	s.owners = append(s.owners, o)
	s.byDomain[domain] = o
}

func (s *simulation) nextID() uint64 {
	s.lastID++
	return s.lastID
}

// send queues a message, sometimes twice.
func (s *simulation) send(m func()) {
	s.messages = append(s.messages, m)
	if s.intBetween(0, 9) == 0 {
		s.messages = append(s.messages, m)
	}
}

func (s *simulation) limitsOf(o *owner) Limits {
	if s.now < o.installAt {
		return o.limits
	}
	return perDomain(s.lowered)
}

func (s *simulation) source(o *owner) Source {
	for i, x := range s.owners {
		if x == o {
			return Source{Incarnation: uint64(i)}
		}
	}
	panic("unknown owner")
}

// draw sends a draw to an owner, from a holder or from another home.
func (s *simulation) draw(o *owner, to *TokenPool, fromHome bool) {
	requestedAt, source := s.now, s.source(o)
	want := float64(s.intBetween(1, 15))
	s.send(func() {
		if s.now >= o.leaseEnd {
			return
		}
		o.bucket.Advance(s.now, s.limitsOf(o))
		grant := o.bucket.Grant
		if fromHome {
			grant = o.bucket.GrantOwn
		}
		grants := grant(s.now, want, s.nextID)
		answered := false
		s.send(func() {
			if answered {
				return
			}
			answered = true
			for _, g := range grants {
				to.Add(s.now, requestedAt, source, g)
			}
		})
	})
}

// sendReports sends the pending reports of a holder.
func (s *simulation) sendReports(p *TokenPool) {
	for source, reports := range p.DrainReports(s.now, s.intBetween(0, 9) == 0) {
		o := s.owners[source.Incarnation]
		for _, r := range reports {
			s.send(func() {
				o.bucket.Advance(s.now, s.limitsOf(o))
				o.bucket.ApplyReport(r)
			})
		}
	}
}

// randomOwner returns the owner of a random domain, sometimes a replaced owner.
func (s *simulation) randomOwner() *owner {
	if s.intBetween(0, 4) == 0 {
		return s.owners[s.intBetween(0, len(s.owners)-1)]
	}
	return s.byDomain[s.intBetween(0, domainCount-1)]
}

func (s *simulation) randomPool() *TokenPool {
	return s.pools[s.intBetween(0, holderCount-1)]
}

func (s *simulation) spend() {
	for n, p := range s.pools {
		for range s.intBetween(0, 12*(n+1)) {
			if !p.Spend(s.now, 1) {
				break
			}
			s.spends = append(s.spends, s.now)
		}
	}
}

func (s *simulation) deliver() {
	for range s.intBetween(1, 10) {
		s.deliverOne()
	}
}

// deliverOne delivers or loses one of the oldest messages.
func (s *simulation) deliverOne() {
	if len(s.messages) == 0 {
		return
	}
	i := s.intBetween(0, min(len(s.messages)-1, 5))
	m := s.messages[i]
	s.messages = append(s.messages[:i], s.messages[i+1:]...)
	if s.intBetween(0, 9) > 0 {
		m()
	}
}

// replaceOwner gives a random domain a new owner. The old one acts until its lease ends;
// the new one accrues tokens only once the old one's last grants have ended.
func (s *simulation) replaceOwner() {
	d := s.intBetween(0, domainCount-1)
	s.byDomain[d].leaseEnd = s.now.Add(leaseTerm)
	start := s.now.Add(leaseTerm + GrantTerm + DriftMargin)
	s.setOwner(d, NewBucket(start, perDomain(s.full)))
}

func (s *simulation) lowerLimits() {
	if s.loweredAt != 0 {
		return
	}
	s.lowered = Limits{s.full.Burst / 2, s.full.Rate / 4}
	s.loweredAt = s.now.Add(leaseTerm)
	for _, o := range s.owners {
		delay := time.Duration(s.intBetween(0, 4000)) * time.Millisecond
		o.installAt = s.now.Add(delay)
	}
}

// weightEvents gives each kind of event a random weight, so that schedules differ in
// which kinds they have many or few of.
func (s *simulation) weightEvents() {
	events := []struct {
		// The weight is 2 to a power between minExponent and maxExponent.
		minExponent, maxExponent int
		run                      func()
	}{
		{3, 6, func() { s.sleep(1, 20) }},
		{0, 1, func() { s.sleep(100, 1300) }},
		{2, 6, func() { s.draw(s.randomOwner(), s.randomPool(), false) }},
		{0, 5, func() { s.draw(s.randomOwner(), &s.randomOwner().bucket.Borrowed, true) }},
		{4, 6, s.deliver},
		{1, 6, s.spend},
		{0, 6, func() { s.sendReports(s.randomPool()) }},
		{0, 6, func() { s.sendReports(&s.randomOwner().bucket.Borrowed) }},
	}
	for _, e := range events {
		for range 1 << s.intBetween(e.minExponent, e.maxExponent) {
			s.events = append(s.events, e.run)
		}
	}
}

func (s *simulation) step() {
	if s.intBetween(0, 499) == 0 {
		s.rareEvent()
		return
	}
	s.events[s.intBetween(0, len(s.events)-1)]()
}

// sleep advances the time by between minMs and maxMs milliseconds.
func (s *simulation) sleep(minMs, maxMs int) {
	s.now = s.now.Add(time.Duration(s.intBetween(minMs, maxMs)) * time.Millisecond)
}

func (s *simulation) rareEvent() {
	switch s.intBetween(0, 3) {
	case 0:
		s.sleep(1000, 6000)
	case 1:
		s.replaceOwner()
	case 2:
		s.lowerLimits()
	case 3:
		*s.randomPool() = TokenPool{}
	}
}

// excess returns the largest number of tokens by which the spends of any interval exceed
// burst + rate * interval; at most 0 if none does.
func excess(spends []clock.Time, l Limits) float64 {
	most, least := 0.0, 0.0
	for i, t := range spends {
		accrued := l.Rate * time.Duration(t).Seconds()
		if i == 0 || float64(i)-accrued < least {
			least = float64(i) - accrued
		}
		most = max(most, float64(i+1)-accrued-least)
	}
	return most - l.Burst
}

// The spends of a whole account must stay within burst + rate * interval in every
// interval, although messages are lost, delayed and repeated and processes pause, restart
// and are replaced. After the limits are lowered, the spends must stay within the new
// limits once the earlier grants have ended.
func TestNoWindowHoldsMoreThanRateAndBurst(t *testing.T) {
	t.Logf("rapid seed %s", flag.Lookup("rapid.seed").Value)
	spent := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range scheduleSteps {
			s.step()
		}
		spent += len(s.spends)
		if x := excess(s.spends, s.full); x > 1e-6 {
			t.Fatalf("a window holds %.3f tokens too many", x)
		}
		if s.loweredAt == 0 {
			return
		}
		var afterLowering []clock.Time
		for _, at := range s.spends {
			if at > s.loweredAt.Add(GrantTerm+DriftMargin) {
				afterLowering = append(afterLowering, at)
			}
		}
		if x := excess(afterLowering, s.lowered); x > 1e-6 {
			t.Fatalf("a window after the rate was lowered holds %.3f tokens too many", x)
		}
	})
	require.Positive(t, spent)
	t.Logf("%d tokens spent", spent)
}

// A home without own tokens grants tokens borrowed from the other homes, so that the
// whole burst can be spent at one node.
func TestWholeBurstAtOneNode(t *testing.T) {
	now := clock.Time(time.Hour)
	id := uint64(0)
	nextID := func() uint64 { id++; return id }
	l := perDomain(Limits{Burst: 10, Rate: 1})
	a, b, c := NewFullBucket(now, l), NewFullBucket(now, l), NewFullBucket(now, l)
	for i, other := range []*Bucket{b, c} {
		for _, g := range other.GrantOwn(now, 10, nextID) {
			a.Borrowed.Add(now, now, Source{Incarnation: uint64(i)}, g)
		}
	}
	var p TokenPool
	for _, g := range a.Grant(now, 20, nextID) {
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

// Granted tokens take up capacity until their term ends, so that a bucket whose whole
// capacity is granted accrues nothing until then.
func TestGrantedTokensPreventAccrual(t *testing.T) {
	l := Limits{Burst: 5, Rate: 5}
	b := NewFullBucket(start, l)
	b.GrantOwn(start, 5, newIDs())
	end := start.Add(GrantTerm + DriftMargin)
	b.Advance(end.Add(100*time.Millisecond), l)
	require.InDelta(t, 0.5, b.Level(), 1e-9)
}

// Reports are cumulative: an older or repeated one changes nothing.
func TestReportsAreCumulative(t *testing.T) {
	l := Limits{Burst: 10}
	b := NewFullBucket(start, l)
	g := b.GrantOwn(start, 6, newIDs())[0]
	for _, r := range []Report{{g.ID, 2, 0}, {g.ID, 3, 1}, {g.ID, 2, 0}, {g.ID, 3, 1}} {
		b.ApplyReport(r)
	}
	require.InDelta(t, 2.0, b.Outstanding(), 1e-9)
	require.InDelta(t, 5.0, b.Level(), 1e-9)
}

// A loan must end before the borrowed grant that it was taken from.
func TestLoanEndsBeforeItsGrant(t *testing.T) {
	b := NewBucket(start, Limits{Burst: 5})
	b.Borrowed.Add(start, start, Source{}, Grant{ID: 9, Tokens: 3, Term: GrantTerm})
	now := start.Add(600 * time.Millisecond)
	b.Advance(now, Limits{Burst: 5})
	g := b.Grant(now, 3, newIDs())
	require.Len(t, g, 1)
	require.LessOrEqual(t, now.Add(g[0].Term+DriftMargin), start.Add(GrantTerm))
}

// A lowered burst applies at once, also to tokens that have already accrued.
func TestLoweredBurstReducesLevel(t *testing.T) {
	b := NewFullBucket(start, Limits{Burst: 10, Rate: 10})
	b.GrantOwn(start, 3, newIDs())
	b.Advance(start, Limits{Burst: 4, Rate: 10})
	require.InDelta(t, 1.0, b.Level(), 1e-9)
}

// Tokens that holders of a predecessor's grants may still spend take up capacity in the
// restored bucket until their term has ended. Both together never exceed the burst.
func TestRestoredBucketNeverExceedsBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Burst: float64(rapid.IntRange(1, 50).Draw(t, "cap")), Rate: float64(rapid.IntRange(1, 100).Draw(t, "rate"))}
		nextID := func() uint64 { return uint64(rapid.IntRange(1, 1<<30).Draw(t, "id")) }
		old := NewFullBucket(0, l)
		var spendable float64
		for _, g := range old.Grant(0, float64(rapid.IntRange(0, 60).Draw(t, "granted")), nextID) {
			spendable += g.Tokens
		}
		now := clock.Time(rapid.IntRange(0, 900).Draw(t, "ms")) * clock.Time(time.Millisecond)
		old.Advance(now, l)
		restored := RestoreBucket(now, l, old.State())
		for now < clock.Time(GrantTerm) {
			restored.Advance(now, l)
			require.LessOrEqual(t, restored.Level()+spendable, l.Burst+1e-6)
			now = now.Add(50 * time.Millisecond)
		}
		restored.Advance(now.Add(10*time.Second), l)
		require.InDelta(t, min(l.Burst, restored.Level()+100*l.Rate), l.Burst, 1e-6)
	})
}
