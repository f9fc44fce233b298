package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"comfreycart.dev/comfreycart/test/standin/instance"
	"comfreycart.dev/comfreycart/test/standin/platform"
)

const (
	faultInterval   = 400 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxOverlappingFaults is how many faults may overlap.
	maxOverlappingFaults = 3
	// drainBound is how long after the word of its leaving a backend server may get work.
	drainBound = 2 * time.Second
	// drainServingTime is how long a leaving backend server goes on serving.
	drainServingTime = drainBound + time.Second
	linkDelay = 60 * time.Millisecond
)

// drain is a backend server whose word that it leaves was acknowledged.
type drain struct {
	node     *node
	instance *instance.Instance
	ackedAt     time.Time
}

// withdrawal is a key that was taken away.
type withdrawal struct {
	key   string
	ackedAt time.Time
}

// faultInjector bring failures about and note what callers must see of them.
type faultInjector struct {
	f       *fleet
	callers *callers
	rng     *rand.Rand
	settingsVersion int

	mu          sync.Mutex
	busyNodes        map[*node]bool
	storeBusy   bool
	withdrawals []withdrawal
	drains    []drain
	injected        []string
}

// run brings faults about, several at a time, and ends all of them.
func (x *faultInjector) run(lasts time.Duration) {
	var wg sync.WaitGroup
	room := make(chan struct{}, maxOverlappingFaults)
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(faultInterval) {
		room <- struct{}{}
		kind, node, other := x.rng.IntN(len(faultKinds)), x.f.nodes[x.rng.IntN(len(x.f.nodes))], x.f.nodes[x.rng.IntN(len(x.f.nodes))]
		lasts := time.Duration(x.rng.Int64N(int64(maxFaultDuration)))
		wg.Go(func() {
			defer func() { <-room }()
			x.injectIfFree(kind, node, other, lasts)
		})
	}
	wg.Wait()
}

// fault is one kind of failure; it has ended when it returns.
type fault struct {
	name string
	// onStore is set for faults of the store, of which there is one at a time.
	onStore bool
	inject func(x *faultInjector, n, other *node, lasts time.Duration)
}

var faultKinds = []fault{
	{"kill", false, func(x *faultInjector, n, _ *node, d time.Duration) { <-n.signal(syscall.SIGKILL); time.Sleep(d); n.start() }},
	{"stop", false, func(x *faultInjector, n, _ *node, _ time.Duration) { <-n.signal(syscall.SIGTERM); n.start() }},
	{"freeze", false, func(x *faultInjector, n, _ *node, d time.Duration) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
	}},
	{"cut", false, func(x *faultInjector, n, o *node, d time.Duration) {
		x.cutLinks(d, [2]string{n.name, o.name}, [2]string{o.name, n.name})
	}},
	{"cut one way", false, func(x *faultInjector, n, o *node, d time.Duration) { x.cutLinks(d, [2]string{n.name, o.name}) }},
	{"cut from store", false, func(x *faultInjector, n, _ *node, d time.Duration) {
		x.cutLinks(2*d, [2]string{n.name, storeName}, [2]string{storeName, n.name})
	}},
	{"store's answers cut", false, func(x *faultInjector, n, _ *node, d time.Duration) { x.cutLinks(2*d, [2]string{storeName, n.name}) }},
	{"reset", false, func(x *faultInjector, n, _ *node, _ time.Duration) { x.f.links.Reset(n.name) }},
	{"silence", false, func(x *faultInjector, n, _ *node, _ time.Duration) { x.f.links.Silence(n.name) }},
	{"delay", false, func(x *faultInjector, n, o *node, d time.Duration) {
		x.f.links.SetDelay(n.name, o.name, linkDelay)
		time.Sleep(d)
		x.f.links.SetDelay(n.name, o.name, 0)
	}},
	{"store down", true, func(x *faultInjector, _, _ *node, d time.Duration) { x.injectStoreFaults(platform.Faults{Down: true}, 2*d) }},
	{"store slow", true, func(x *faultInjector, _, _ *node, d time.Duration) { x.injectStoreFaults(platform.Faults{DelayMs: 200}, 2*d) }},
	{"store loses answers", true, func(x *faultInjector, _, _ *node, d time.Duration) {
		x.injectStoreFaults(platform.Faults{LoseWriteAnswers: true, FailEvery: 3, DelayMs: 20}, 2*d)
	}},
	{"store forgets", true, func(x *faultInjector, _, _ *node, _ time.Duration) { x.f.store.DropHistory() }},
	{"withdraw", true, func(x *faultInjector, _, _ *node, _ time.Duration) { x.withdrawKey() }},
	{"answers lost", false, func(x *faultInjector, n, _ *node, d time.Duration) { x.injectBackendFaults(n, instance.Faults{DropAnswer: true}, d) }},
	{"answers cut", false, func(x *faultInjector, n, _ *node, d time.Duration) { x.injectBackendFaults(n, instance.Faults{TruncateAnswer: true}, d) }},
	{"extra answers", false, func(x *faultInjector, n, _ *node, d time.Duration) { x.injectBackendFaults(n, instance.Faults{ForeignAnswer: true}, d) }},
	{"sheds", false, func(x *faultInjector, n, _ *node, d time.Duration) { x.injectBackendFaults(n, instance.Faults{Shed: true}, d) }},
	{"slow", false, func(x *faultInjector, n, _ *node, d time.Duration) {
		x.injectBackendFaults(n, instance.Faults{Delay: 300 * time.Millisecond}, d)
	}},
	{"crash", false, func(x *faultInjector, n, _ *node, d time.Duration) {
		id := n.currentInstance().ID
		n.stopInstance()
		time.Sleep(d)
		n.startInstance(id)
	}},
	{"replace", false, func(x *faultInjector, n, _ *node, _ time.Duration) { x.drainAndReplace(n) }},
}

// injectIfFree brings one fault about, unless its node or the store has one.
func (x *faultInjector) injectIfFree(kind int, n, other *node, lasts time.Duration) {
	k := faultKinds[kind]
	x.mu.Lock()
	taken := x.busyNodes[n] || k.onStore && x.storeBusy
	if !taken {
		x.busyNodes[n] = !k.onStore
		x.storeBusy = x.storeBusy || k.onStore
		x.injected = append(x.injected, k.name+" "+n.name)
	}
	x.mu.Unlock()
	if taken {
		return
	}
	k.inject(x, n, other, lasts)
	x.mu.Lock()
	defer x.mu.Unlock()
	if k.onStore {
		x.storeBusy = false
		return
	}
	x.busyNodes[n] = false
}

func (x *faultInjector) cutLinks(lasts time.Duration, ways ...[2]string) {
	for _, w := range ways {
		x.f.links.SetCut(w[0], w[1], true)
	}
	time.Sleep(lasts)
	for _, w := range ways {
		x.f.links.SetCut(w[0], w[1], false)
	}
}

func (x *faultInjector) injectStoreFaults(f platform.Faults, lasts time.Duration) {
	x.f.store.SetFaults(f)
	time.Sleep(lasts)
	x.f.store.SetFaults(platform.Faults{})
}

func (x *faultInjector) injectBackendFaults(n *node, f instance.Faults, lasts time.Duration) {
	i := n.currentInstance()
	i.SetFaults(f)
	time.Sleep(lasts)
	i.SetFaults(instance.Faults{})
}

// drainAndReplace makes a backend server leave as it should, and starts another one.
func (x *faultInjector) drainAndReplace(n *node) {
	i := n.currentInstance()
	n.mu.Lock()
	n.stopAnnouncing()
	n.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < maxFaultDuration; time.Sleep(heartbeatInterval) {
		if status, err := i.Announce("draining"); err == nil && status == http.StatusOK {
			x.mu.Lock()
			x.drains = append(x.drains, drain{n, i, time.Now()})
			x.mu.Unlock()
			break
		}
	}
	time.Sleep(drainServingTime)
	_, _ = i.Deregister()
	n.stopInstance()
	n.startInstance(fmt.Sprintf("i-%s-%d", n.name, n.instancesStarted))
}

// withdrawKey takes the older key of the large account away and grants a new one.
func (x *faultInjector) withdrawKey() {
	x.callers.mu.Lock()
	keys := x.callers.keys["large"]
	old := keys[len(keys)-2]
	x.callers.keys["large"] = append(keys, fmt.Sprintf("large-%d", len(keys)))
	x.callers.mu.Unlock()
	x.putSettings()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.withdrawals = append(x.withdrawals, withdrawal{old, time.Now()})
}

// putSettings puts the keys in force: the last two of each account.
func (x *faultInjector) putSettings() {
	x.callers.mu.Lock()
	defer x.callers.mu.Unlock()
	x.settingsVersion++
	two := func(account string) string {
		keys := x.callers.keys[account]
		return fmt.Sprintf("[%q,%q]", keys[len(keys)-2], keys[len(keys)-1])
	}
	x.f.store.Put(platform.RowName{Table: "op", Key: "config"}, fmt.Appendf(nil, `{"version":%d,
	"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","public","service"],"rows":[
	["safe","h","/safe/","safe",1200,1000,2,2,false,"front"],
	["unsafe","h","/unsafe/","unsafe",1200,1000,0,2,false,"deep"]]},
	"services":{"columns":["name"],"rows":[["front"],["deep"]]},
	"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[
	["large",%s,1,1000,1000],["small",%s,1,%d,%d]]}}`, x.settingsVersion, two("large"), two("small"), smallRatePerS, smallBurst))
}
