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
	meshSize      = flag.Int("soak.nodes", 6, "nodes of a mesh of fresh seeds")
	parallelMeshes  = flag.Int("soak.parallel", 2, "meshes of fresh seeds at a time")
	faultDuration  = flag.Duration("soak.time", 15*time.Second, "how long faults come")
)

// The bounds are those of the users' sites.
const (
	revokeBound  = 5 * time.Second
	recoveryBound = 15 * time.Second
	rateWindow   = 5 * time.Second
	// smallRatePerS and smallBurst are the limits of the account that callers exceed, in
	// requests per second and in requests.
	smallRatePerS, smallBurst = 10, 10
)

// regressionSeeds are seeds that CI plays: two that pass, and each that ever failed.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none"},
	{2, "none"},
	{134, "connections between nodes that had gone silent were used again and again"},
}

func TestSoak(t *testing.T) {
	for _, r := range regressionSeeds {
		t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, 6, 10*time.Second)
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
	room := make(chan struct{}, *parallelMeshes)
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			room <- struct{}{}
			defer func() { <-room }()
			runSeed(t, seed, *meshSize, *faultDuration)
		})
	}
}

// runSeed plays one seed.
func runSeed(t *testing.T, seed uint64, size int, lasts time.Duration) {
	f := newFleet(t, size)
	c := newCallers(f, map[string][]string{"large": {"large-0", "large-1"}, "small": {"small-0", "small-1"}})
	x := &faultInjector{f: f, callers: c, rng: rand.New(rand.NewPCG(seed, 1)), busyNodes: map[*node]bool{}}
	x.putSettings()
	f.awaitServed(c, readyTimeout)
	c.start(seed)
	x.run(lasts)
	t.Logf("seed %d, faults: %v", seed, x.injected)
	f.awaitServed(c, recoveryBound)
	all := c.stopAndCollect()
	// A request that was said not to have run may not run later either.
	time.Sleep(2 * requestDeadline)
	checkAttempts(t, f, x, all)
	t.Logf("seed %d: %d requests, outcomes: %v", seed, len(all), countOutcomes(all))
}

// awaitServed waits until every node serves requests of both kinds.
func (f *fleet) awaitServed(c *callers, bound time.Duration) {
	client := &http.Client{Timeout: 4 * requestDeadline}
	begin := time.Now()
	for _, n := range f.nodes {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for {
				c.mu.Lock()
				c.lastID++
				keys := c.keys["large"]
				a := &attempt{id: fmt.Sprintf("w%d", c.lastID), method: method, account: "large", key: keys[len(keys)-1]}
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

func checkAttempts(t *testing.T, f *fleet, x *faultInjector, all []*attempt) {
	runs := map[string][]instance.Run{}
	for _, n := range f.nodes {
		for _, r := range n.runs() {
			runs[r.AttemptID] = append(runs[r.AttemptID], r)
		}
	}
	withdrawn := map[string]time.Time{}
	for _, w := range x.withdrawals {
		withdrawn[w.key] = w.ackedAt
	}
	var small []time.Time
	for _, a := range all {
		ran := runs[a.id]
		if a.status == http.StatusOK && a.err == nil && (!isCompleteAnswer(a) || a.responseSeal == "") {
			t.Errorf("%s at %s: not a whole answer of its own: %q", a.id, a.node, a.body)
		}
		if a.isUnsafe() && len(ran) > 1 {
			t.Errorf("%s at %s ran %d times", a.id, a.node, len(ran))
		}
		if a.isAnsweredNotRun() && len(ran) > 0 {
			t.Errorf("%s at %s was told not to have run with %d, but did: %s", a.id, a.node, a.status, a.body)
		}
		if acked, ok := withdrawn[a.key]; ok && len(ran) > 0 && a.sentAt.Sub(acked) > revokeBound {
			t.Errorf("%s at %s ran with a key withdrawn %v before", a.id, a.node, a.sentAt.Sub(acked))
		}
		for _, r := range ran {
			if r.Account != a.account || r.Authorization != "" || r.CallerService == "" || r.Method != a.method || r.Body != a.id {
				t.Errorf("%s at %s ran as %+v", a.id, a.node, r)
			}
			if a.account == "small" {
				small = append(small, r.At)
			}
		}
	}
	checkRate(t, small)
	checkDrains(t, x.drains)
}

// checkRate compares every window with what the rate and the burst allow.
func checkRate(t *testing.T, ran []time.Time) {
	sort.Slice(ran, func(i, j int) bool { return ran[i].Before(ran[j]) })
	most := int(smallRatePerS*rateWindow.Seconds()) + smallBurst
	for i := range ran {
		if j := i + most; j < len(ran) && ran[j].Sub(ran[i]) < rateWindow {
			t.Errorf("more than %d requests of the small account ran within %v", most, ran[j].Sub(ran[i]))
			return
		}
	}
}

func checkDrains(t *testing.T, all []drain) {
	for _, l := range all {
		for _, r := range l.instance.Runs() {
			if late := r.At.Sub(l.ackedAt); late > drainBound {
				t.Errorf("%s ran at %s %v after it was acknowledged to be leaving", r.AttemptID, l.instance.ID, late)
			}
		}
	}
}

// countOutcomes counts what callers got.
func countOutcomes(all []*attempt) map[string]int {
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
