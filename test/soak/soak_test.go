package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/standin/instance"
)

var (
	seeds          = flag.Int("soak.seeds", 0, "how many fresh seeds to run")
	firstSeed      = flag.Uint64("soak.first", 0, "the first fresh seed; 0 picks a random one")
	meshSize       = flag.Int("soak.nodes", 6, "nodes in the mesh of a fresh seed")
	parallelMeshes = flag.Int("soak.parallel", 2, "how many fresh seeds run at the same time")
	faultDuration  = flag.Duration("soak.time", 15*time.Second, "how long faults are injected for each fresh seed")
)

// These are the bounds that users' deployments rely on.
const (
	revokeBound   = 5 * time.Second
	recoveryBound = 15 * time.Second
	rateWindow    = 5 * time.Second
	// smallRatePerS and smallBurst limit the account "small", in requests per second and in
	// requests. The callers exceed this rate.
	smallRatePerS, smallBurst = 10, 10
	// From limitGrace after a backend server has named a rate limit, it gets at most limitFactor
	// times what that allows and limitSlack requests more in any limitWindow, from nodes that have
	// passed on an answer with the limit limitNoticeDelay before or earlier.
	limitGrace       = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitNoticeDelay = 500 * time.Millisecond
	limitFactor      = 1.5
	limitSlack       = 5
)

// firstKinds to fourthKinds are the numbers of faults that the older regression seeds draw from.
const (
	firstKinds  = 22
	secondKinds = 25
	thirdKinds  = 30
	fourthKinds = 32
)

// regressionSeeds are the seeds that CI runs: some that pass, and each that ever failed, with the cause
// of its failure and the number of faults that it draws from.
var regressionSeeds = []struct {
	seed  uint64
	cause string
	kinds int
}{
	{1, "none", firstKinds},
	{2, "none", firstKinds},
	{134, "connections between nodes that carried no more data were reused repeatedly", firstKinds},
	{3, "none", secondKinds},
	{4, "none", secondKinds},
	{5, "none", thirdKinds},
	{6, "none", thirdKinds},
	{7, "none", fourthKinds},
	{8, "none", fourthKinds},
	{7407, "the check of rates counted a second run of an idempotent request as another request", fourthKinds},
	{7413, "the same", fourthKinds},
	{9, "none", len(faultKinds)},
	{9011, "a backend server that had left was made to announce itself anew", len(faultKinds)},
}

// TestSoak runs the regression seeds.
func TestSoak(t *testing.T) {
	for _, r := range regressionSeeds {
		t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, r.kinds, 6, 10*time.Second)
		})
	}
}

// TestSoakFresh runs fresh seeds. It is run by hand and does nothing by default:
//
//	go test ./test/soak -run TestSoakFresh -soak.seeds 50 -timeout 2h
func TestSoakFresh(t *testing.T) {
	first := *firstSeed
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	slots := make(chan struct{}, *parallelMeshes)
	for i := range *seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, seed, len(faultKinds), *meshSize, *faultDuration)
		})
	}
}

// runSeed runs a mesh under faults and requests drawn from the seed, and checks the recorded
// outcomes.
func runSeed(t *testing.T, seed uint64, kinds, size int, duration time.Duration) {
	f := newFleet(t, size)
	c := newCallers(f, map[string][]string{"large": {"large-0", "large-1"}, "small": {"small-0", "small-1"}})
	inj := &faultInjector{f: f, callers: c, rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, busyNodes: map[*node]bool{}, active: map[string]bool{}, disturbed: map[*node][]time.Time{}}
	inj.putSettings()
	f.awaitServed(c, readyTimeout)
	c.start(seed)
	inj.run(duration)
	t.Logf("seed %d, faults: %v", seed, inj.injected)
	f.awaitServed(c, recoveryBound)
	all := c.stopAndCollect()
	// Leaves time for late runs of requests whose answer said that they were not run.
	time.Sleep(2 * requestDeadline)
	checkAttempts(t, f, inj, all)
	t.Logf("seed %d: %d requests, outcomes: %v", seed, len(all), countOutcomes(all))
}

// awaitServed waits until every node answers a safe and an unsafe request with 200. It
// fails the test if that takes longer than the bound.
func (f *fleet) awaitServed(c *callers, bound time.Duration) {
	client := &http.Client{Timeout: 4 * requestDeadline}
	begin := time.Now()
	for _, n := range f.nodes {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for {
				c.mu.Lock()
				c.lastID++
				keys := c.keys["large"]
				id := fmt.Sprintf("w%d", c.lastID)
				a := &attempt{id: id, sentBody: id, method: method, account: "large", key: keys[len(keys)-1]}
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

// checkAttempts checks the guarantees to callers: a 200 is complete and belongs to its
// request, unsafe requests run at most once, requests reported as not run did not run,
// withdrawn keys are refused after revokeBound, and backend servers get the request as
// sent, without the caller's key. The rate limit and drains are checked too.
func checkAttempts(t *testing.T, f *fleet, inj *faultInjector, all []*attempt) {
	runs := map[string][]instance.Run{}
	for _, n := range f.nodes {
		for _, r := range n.runs() {
			runs[r.AttemptID] = append(runs[r.AttemptID], r)
		}
	}
	withdrawn := map[string]time.Time{}
	for _, w := range inj.withdrawals {
		withdrawn[w.key] = w.ackedAt
	}
	var small []time.Time
	for _, a := range all {
		ran := runs[a.id]
		if a.status == http.StatusOK && a.err == nil && (!isCompleteAnswer(a) || a.responseSeal == "") {
			t.Errorf("%s at %s: 200 without the complete answer to this request: %q", a.id, a.node, a.body)
		}
		if a.isUnsafe() && len(ran) > 1 {
			t.Errorf("%s at %s ran %d times", a.id, a.node, len(ran))
		}
		if a.isAnsweredNotRun() && len(ran) > 0 {
			t.Errorf("%s at %s was answered %d, which means not run, but it ran: %s", a.id, a.node, a.status, a.body)
		}
		if acked, ok := withdrawn[a.key]; ok && len(ran) > 0 && a.sentAt.Sub(acked) > revokeBound {
			t.Errorf("%s at %s ran with a key that was withdrawn %v earlier", a.id, a.node, a.sentAt.Sub(acked))
		}
		for _, r := range ran {
			if r.Account != a.account || r.Authorization != "" || r.CallerService == "" || r.Method != a.method || !r.BodyUnread && r.BodyHash != xxhash.Sum64String(a.sentBody) {
				t.Errorf("%s at %s reached the backend server as an unexpected request: %.400s", a.id, a.node, fmt.Sprintf("%+v", r))
			}
		}
		if a.account == "small" && len(ran) > 0 {
			small = append(small, slices.MinFunc(ran, func(r, o instance.Run) int { return r.At.Compare(o.At) }).At)
		}
	}
	checkRate(t, small)
	checkDrains(t, inj.drains)
	for _, accepted := range inj.oddAccepted {
		t.Errorf("an announcement with a number out of range was accepted: %s", accepted)
	}
	checkRateLimits(t, f, inj, all)
	checkLeavers(t, f, inj, all)
}

// checkRate checks that in no window of rateWindow more requests ran than the rate and the
// burst of the small account allow. ran holds the first run of each request: an idempotent one that is
// sent to a second backend server is still one request.
func checkRate(t *testing.T, ran []time.Time) {
	sort.Slice(ran, func(i, j int) bool { return ran[i].Before(ran[j]) })
	maxRuns := int(smallRatePerS*rateWindow.Seconds()) + smallBurst
	for i := range ran {
		if j := i + maxRuns; j < len(ran) && ran[j].Sub(ran[i]) < rateWindow {
			t.Errorf("more than %d requests of the small account ran within %v", maxRuns, ran[j].Sub(ran[i]))
			return
		}
	}
}

// checkDrains checks that draining backend servers got no requests after drainBound.
func checkDrains(t *testing.T, all []drain) {
	for _, d := range all {
		for _, r := range d.instance.Runs() {
			if late := r.At.Sub(d.ackedAt); late > drainBound {
				t.Errorf("%s ran at %s %v after its draining was acknowledged", r.AttemptID, d.instance.ID, late)
			}
		}
	}
}

// checkRateLimits checks that backend servers which have named a rate limit did not get more from the
// nodes that knew it.
func checkRateLimits(t *testing.T, f *fleet, inj *faultInjector, all []*attempt) {
	attempts := byID(all)
	for _, limit := range inj.limits {
		informed := informedNodes(f, inj, limit.instance, all, func(a *attempt) bool { return a.namesLimit && a.answeredAt.After(limit.from) })
		var counted []time.Time
		for _, r := range limit.instance.Runs() {
			since, ok := informed(attempts[r.AttemptID], r.At)
			if ok && r.At.After(limit.from.Add(limitGrace)) && r.At.Before(limit.to) && r.At.Sub(since) >= limitNoticeDelay {
				counted = append(counted, r.At)
			}
		}
		most := int(limitFactor*float64(limit.ratePerS)*limitWindow.Seconds()) + limitSlack
		for i := range counted {
			if j := i + most; j < len(counted) && counted[j].Sub(counted[i]) < limitWindow {
				t.Errorf("%s named a limit of %d requests a second and got more than %d within %v", limit.instance.ID, limit.ratePerS, most, limitWindow)
				break
			}
		}
	}
}

// checkLeavers checks that backend servers which said in an answer that they were leaving got no
// requests after drainBound from the nodes that had passed it on.
func checkLeavers(t *testing.T, f *fleet, inj *faultInjector, all []*attempt) {
	attempts := byID(all)
	for _, leaver := range inj.leavers {
		informed := informedNodes(f, inj, leaver, all, func(a *attempt) bool { return a.saysLeaving })
		for _, r := range leaver.Runs() {
			a := attempts[r.AttemptID]
			if since, ok := informed(a, r.At); ok && a.sentAt.Sub(since) > drainBound {
				t.Errorf("%s of %s ran at %s %v after the node had heard that it was leaving", a.id, a.node, leaver.ID, a.sentAt.Sub(since))
			}
		}
	}
}

func byID(all []*attempt) map[string]*attempt {
	attempts := map[string]*attempt{}
	for _, a := range all {
		attempts[a.id] = a
	}
	return attempts
}

// informedNodes returns a function that tells since when the node of an attempt had been informed at a
// time: since it passed on an answer of the instance for which isInforming holds, unless a fault of the
// node itself ended later. The attempt may be nil.
func informedNodes(f *fleet, inj *faultInjector, from *instance.Instance, all []*attempt, isInforming func(*attempt) bool) func(a *attempt, at time.Time) (time.Time, bool) {
	passedOn, disturbed := map[string][]time.Time{}, map[string][]time.Time{}
	for _, a := range all {
		if strings.HasSuffix(a.body, " of "+from.ID) && isInforming(a) {
			passedOn[a.node] = append(passedOn[a.node], a.answeredAt)
		}
	}
	for _, times := range passedOn {
		slices.SortFunc(times, time.Time.Compare)
	}
	for _, n := range f.nodes {
		disturbed[n.name] = inj.disturbed[n]
	}
	return func(a *attempt, at time.Time) (time.Time, bool) {
		if a == nil {
			return time.Time{}, false
		}
		var calmSince time.Time
		for _, d := range disturbed[a.node] {
			if d.After(calmSince) && d.Before(at) {
				calmSince = d
			}
		}
		i := slices.IndexFunc(passedOn[a.node], func(p time.Time) bool { return p.After(calmSince) })
		if i < 0 {
			return time.Time{}, false
		}
		return passedOn[a.node][i], passedOn[a.node][i].Before(at)
	}
}

// countOutcomes counts the attempts by method and status.
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
