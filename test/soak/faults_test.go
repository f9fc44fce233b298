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
	faultPause   = 400 * time.Millisecond
	longestFault = 3 * time.Second
	// atOnce is how many faults may overlap.
	atOnce = 3
	// drainBound is how long after the word of its leaving a backend server may get work.
	drainBound = 2 * time.Second
	// drainStay is how long a leaving backend server goes on serving.
	drainStay = drainBound + time.Second
	linkDelay = 60 * time.Millisecond
)

// leaving is a backend server whose word that it leaves was acknowledged.
type leaving struct {
	node     *node
	instance *instance.Instance
	said     time.Time
}

// withdrawal is a key that was taken away.
type withdrawal struct {
	key   string
	acked time.Time
}

// faults bring failures about and note what callers must see of them.
type faults struct {
	f       *fleet
	callers *callers
	rng     *rand.Rand
	version int

	mu          sync.Mutex
	busy        map[*node]bool
	storeBusy   bool
	withdrawals []withdrawal
	leavings    []leaving
	done        []string
}

// run brings faults about, several at a time, and ends all of them.
func (x *faults) run(lasts time.Duration) {
	var wg sync.WaitGroup
	room := make(chan struct{}, atOnce)
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(faultPause) {
		room <- struct{}{}
		kind, node, other := x.rng.IntN(len(kinds)), x.f.nodes[x.rng.IntN(len(x.f.nodes))], x.f.nodes[x.rng.IntN(len(x.f.nodes))]
		lasts := time.Duration(x.rng.Int64N(int64(longestFault)))
		wg.Go(func() {
			defer func() { <-room }()
			x.one(kind, node, other, lasts)
		})
	}
	wg.Wait()
}

// fault is one kind of failure; it has ended when it returns.
type fault struct {
	name string
	// store is set for faults of the store, of which there is one at a time.
	store bool
	bring func(x *faults, n, other *node, lasts time.Duration)
}

var kinds = []fault{
	{"kill", false, func(x *faults, n, _ *node, d time.Duration) { <-n.signal(syscall.SIGKILL); time.Sleep(d); n.start() }},
	{"stop", false, func(x *faults, n, _ *node, _ time.Duration) { <-n.signal(syscall.SIGTERM); n.start() }},
	{"freeze", false, func(x *faults, n, _ *node, d time.Duration) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
	}},
	{"cut", false, func(x *faults, n, o *node, d time.Duration) {
		x.cut(d, [2]string{n.name, o.name}, [2]string{o.name, n.name})
	}},
	{"cut one way", false, func(x *faults, n, o *node, d time.Duration) { x.cut(d, [2]string{n.name, o.name}) }},
	{"cut from store", false, func(x *faults, n, _ *node, d time.Duration) {
		x.cut(2*d, [2]string{n.name, storeName}, [2]string{storeName, n.name})
	}},
	{"store's answers cut", false, func(x *faults, n, _ *node, d time.Duration) { x.cut(2*d, [2]string{storeName, n.name}) }},
	{"reset", false, func(x *faults, n, _ *node, _ time.Duration) { x.f.links.Reset(n.name) }},
	{"silence", false, func(x *faults, n, _ *node, _ time.Duration) { x.f.links.Silence(n.name) }},
	{"delay", false, func(x *faults, n, o *node, d time.Duration) {
		x.f.links.Delay(n.name, o.name, linkDelay)
		time.Sleep(d)
		x.f.links.Delay(n.name, o.name, 0)
	}},
	{"store down", true, func(x *faults, _, _ *node, d time.Duration) { x.harmStore(platform.Faults{Down: true}, 2*d) }},
	{"store slow", true, func(x *faults, _, _ *node, d time.Duration) { x.harmStore(platform.Faults{DelayMs: 200}, 2*d) }},
	{"store loses answers", true, func(x *faults, _, _ *node, d time.Duration) {
		x.harmStore(platform.Faults{LoseWriteAnswers: true, FailEvery: 3, DelayMs: 20}, 2*d)
	}},
	{"store forgets", true, func(x *faults, _, _ *node, _ time.Duration) { x.f.store.Forget() }},
	{"withdraw", true, func(x *faults, _, _ *node, _ time.Duration) { x.withdraw() }},
	{"answers lost", false, func(x *faults, n, _ *node, d time.Duration) { x.harmBackend(n, instance.Faults{Lose: true}, d) }},
	{"answers cut", false, func(x *faults, n, _ *node, d time.Duration) { x.harmBackend(n, instance.Faults{Cut: true}, d) }},
	{"extra answers", false, func(x *faults, n, _ *node, d time.Duration) { x.harmBackend(n, instance.Faults{Extra: true}, d) }},
	{"sheds", false, func(x *faults, n, _ *node, d time.Duration) { x.harmBackend(n, instance.Faults{Shed: true}, d) }},
	{"slow", false, func(x *faults, n, _ *node, d time.Duration) {
		x.harmBackend(n, instance.Faults{Delay: 300 * time.Millisecond}, d)
	}},
	{"crash", false, func(x *faults, n, _ *node, d time.Duration) {
		id := n.current().ID
		n.stopInstance()
		time.Sleep(d)
		n.startInstance(id)
	}},
	{"replace", false, func(x *faults, n, _ *node, _ time.Duration) { x.replace(n) }},
}

// one brings one fault about, unless its node or the store has one.
func (x *faults) one(kind int, n, other *node, lasts time.Duration) {
	k := kinds[kind]
	x.mu.Lock()
	taken := x.busy[n] || k.store && x.storeBusy
	if !taken {
		x.busy[n] = !k.store
		x.storeBusy = x.storeBusy || k.store
		x.done = append(x.done, k.name+" "+n.name)
	}
	x.mu.Unlock()
	if taken {
		return
	}
	k.bring(x, n, other, lasts)
	x.mu.Lock()
	defer x.mu.Unlock()
	if k.store {
		x.storeBusy = false
		return
	}
	x.busy[n] = false
}

func (x *faults) cut(lasts time.Duration, ways ...[2]string) {
	for _, w := range ways {
		x.f.links.Cut(w[0], w[1], true)
	}
	time.Sleep(lasts)
	for _, w := range ways {
		x.f.links.Cut(w[0], w[1], false)
	}
}

func (x *faults) harmStore(f platform.Faults, lasts time.Duration) {
	x.f.store.SetFaults(f)
	time.Sleep(lasts)
	x.f.store.SetFaults(platform.Faults{})
}

func (x *faults) harmBackend(n *node, f instance.Faults, lasts time.Duration) {
	i := n.current()
	i.Set(f)
	time.Sleep(lasts)
	i.Set(instance.Faults{})
}

// replace makes a backend server leave as it should, and starts another one.
func (x *faults) replace(n *node) {
	i := n.current()
	n.mu.Lock()
	n.stopBeat()
	n.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < longestFault; time.Sleep(beatInterval) {
		if status, err := i.Announce("draining"); err == nil && status == http.StatusOK {
			x.mu.Lock()
			x.leavings = append(x.leavings, leaving{n, i, time.Now()})
			x.mu.Unlock()
			break
		}
	}
	time.Sleep(drainStay)
	_, _ = i.Depart()
	n.stopInstance()
	n.startInstance(fmt.Sprintf("i-%s-%d", n.name, n.births))
}

// withdraw takes the older key of the large account away and grants a new one.
func (x *faults) withdraw() {
	x.callers.mu.Lock()
	keys := x.callers.keys["large"]
	old := keys[len(keys)-2]
	x.callers.keys["large"] = append(keys, fmt.Sprintf("large-%d", len(keys)))
	x.callers.mu.Unlock()
	x.configure()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.withdrawals = append(x.withdrawals, withdrawal{old, time.Now()})
}

// configure puts the keys in force: the last two of each account.
func (x *faults) configure() {
	x.callers.mu.Lock()
	defer x.callers.mu.Unlock()
	x.version++
	two := func(account string) string {
		keys := x.callers.keys[account]
		return fmt.Sprintf("[%q,%q]", keys[len(keys)-2], keys[len(keys)-1])
	}
	x.f.store.Put(platform.Name{Table: "op", Key: "config"}, fmt.Appendf(nil, `{"version":%d,
	"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","public","service"],"rows":[
	["safe","h","/safe/","safe",1200,1000,2,2,false,"front"],
	["unsafe","h","/unsafe/","unsafe",1200,1000,0,2,false,"deep"]]},
	"services":{"columns":["name"],"rows":[["front"],["deep"]]},
	"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[
	["large",%s,1,1000,1000],["small",%s,1,%d,%d]]}}`, x.version, two("large"), two("small"), smallRate, smallBurst))
}
