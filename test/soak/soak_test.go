package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/standin/instance"
)

var (
	seeds     = flag.Int("soak.seeds", 0, "play so many fresh seeds")
	firstSeed = flag.Uint64("soak.first", 0, "the first of the fresh seeds; 0 draws it")
	size      = flag.Int("soak.nodes", 6, "nodes of a mesh of fresh seeds")
	parallel  = flag.Int("soak.parallel", 2, "meshes of fresh seeds at a time")
	playTime  = flag.Duration("soak.time", 15*time.Second, "how long faults come")
)

// The bounds are those of the users' sites.
const (
	revokeBound  = 5 * time.Second
	recoverBound = 15 * time.Second
	rateWindow   = 5 * time.Second
	// smallRate and smallBurst are the limits of the account that callers exceed, in
	// requests per second and in requests.
	smallRate, smallBurst = 10, 10
)

// regressions are seeds that CI plays: two that pass, and each that ever failed.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none"},
	{2, "none"},
	{134, "connections between nodes that had gone silent were used again and again"},
}

func TestSoak(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) {
			t.Parallel()
			play(t, r.seed, 6, 10*time.Second)
		})
	}
}

// TestSoakFresh plays fresh seeds, by hand:
//
//	go test ./test/soak -run TestSoakFresh -soak.seeds 50 -timeout 2h
func TestSoakFresh(t *testing.T) {
	first := *firstSeed
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	room := make(chan struct{}, *parallel)
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			room <- struct{}{}
			defer func() { <-room }()
			play(t, seed, *size, *playTime)
		})
	}
}

// play plays one seed.
func play(t *testing.T, seed uint64, size int, lasts time.Duration) {
	f := newFleet(t, size)
	c := newCallers(f, map[string][]string{"large": {"large-0", "large-1"}, "small": {"small-0", "small-1"}})
	x := &faults{f: f, callers: c, rng: rand.New(rand.NewPCG(seed, 1)), busy: map[*node]bool{}}
	x.configure()
	f.awaitServed(c, readyTimeout)
	c.start(seed)
	x.run(lasts)
	t.Logf("seed %d, faults: %v", seed, x.done)
	f.awaitServed(c, recoverBound)
	all := c.finish()
	// A request that was said not to have run may not run later either.
	time.Sleep(2 * requestBound)
	check(t, f, x, all)
	t.Logf("seed %d: %d requests, outcomes: %v", seed, len(all), outcomes(all))
}

// awaitServed waits until every node serves requests of both kinds.
func (f *fleet) awaitServed(c *callers, bound time.Duration) {
	client := &http.Client{Timeout: 4 * requestBound}
	begin := time.Now()
	for _, n := range f.nodes {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for {
				c.mu.Lock()
				c.next++
				keys := c.keys["large"]
				a := &attempt{id: fmt.Sprintf("w%d", c.next), method: method, account: "large", key: keys[len(keys)-1]}
				c.mu.Unlock()
				c.send(client, n, a)
				if a.status == http.StatusOK {
					break
				}
				require.Less(f.t, time.Since(begin), bound, "%s at %s: status %d, %v", method, n.name, a.status, a.err)
				time.Sleep(callerPause)
			}
		}
	}
}

func check(t *testing.T, f *fleet, x *faults, all []*attempt) {
	runs := map[string][]instance.Run{}
	for _, n := range f.nodes {
		for _, r := range n.runs() {
			runs[r.Attempt] = append(runs[r.Attempt], r)
		}
	}
	withdrawn := map[string]time.Time{}
	for _, w := range x.withdrawals {
		withdrawn[w.key] = w.acked
	}
	var small []time.Time
	for _, a := range all {
		ran := runs[a.id]
		if a.status == http.StatusOK && a.err == nil && (!wholeAnswer(a) || a.seal == "") {
			t.Errorf("%s at %s: not a whole answer of its own: %q", a.id, a.node, a.body)
		}
		if a.unsafe() && len(ran) > 1 {
			t.Errorf("%s at %s ran %d times", a.id, a.node, len(ran))
		}
		if a.promisesNotRun() && len(ran) > 0 {
			t.Errorf("%s at %s was told not to have run with %d, but did: %s", a.id, a.node, a.status, a.body)
		}
		if acked, ok := withdrawn[a.key]; ok && len(ran) > 0 && a.sent.Sub(acked) > revokeBound {
			t.Errorf("%s at %s ran with a key withdrawn %v before", a.id, a.node, a.sent.Sub(acked))
		}
		for _, r := range ran {
			if r.Account != a.account || r.Key != "" || r.Origin == "" || r.Method != a.method || r.Body != a.id {
				t.Errorf("%s at %s ran as %+v", a.id, a.node, r)
			}
			if a.account == "small" {
				small = append(small, r.At)
			}
		}
	}
	checkRate(t, small)
	checkLeavings(t, x.leavings)
}

// checkRate compares every window with what the rate and the burst allow.
func checkRate(t *testing.T, ran []time.Time) {
	sort.Slice(ran, func(i, j int) bool { return ran[i].Before(ran[j]) })
	most := int(smallRate*rateWindow.Seconds()) + smallBurst
	for i := range ran {
		if j := i + most; j < len(ran) && ran[j].Sub(ran[i]) < rateWindow {
			t.Errorf("more than %d requests of the small account ran within %v", most, ran[j].Sub(ran[i]))
			return
		}
	}
}

func checkLeavings(t *testing.T, all []leaving) {
	for _, l := range all {
		for _, r := range l.instance.Runs() {
			if late := r.At.Sub(l.said); late > drainBound {
				t.Errorf("%s ran at %s %v after it was acknowledged to be leaving", r.Attempt, l.instance.ID, late)
			}
		}
	}
}

// outcomes counts what callers got.
func outcomes(all []*attempt) map[string]int {
	out := map[string]int{}
	for _, a := range all {
		label := fmt.Sprint(a.status)
		if a.err != nil {
			label = "no answer"
		}
		out[a.method+" "+label]++
	}
	return out
}
