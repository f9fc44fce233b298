package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"comfreycart.dev/comfreycart/test/standin/instance"
	"comfreycart.dev/comfreycart/test/standin/platform"
)

const (
	faultInterval        = 400 * time.Millisecond
	maxFaultDuration     = 3 * time.Second
	maxOverlappingFaults = 3
	// drainBound is how long a backend server may still receive new requests after its
	// announcement that it is draining was acknowledged.
	drainBound = 2 * time.Second
	// drainServingTime is how long a draining backend server goes on serving. It exceeds
	// drainBound, so that a request that arrives too late is recorded.
	drainServingTime = drainBound + time.Second
	linkDelay        = 60 * time.Millisecond
	// minLimitDuration is how long a backend server names a rate limit at least, and maxLimitRate
	// bounds the rate, in requests a second. The callers exceed it.
	minLimitDuration = limitGrace + limitWindow
	maxLimitRate     = 15
	// maxRewriteDelay bounds the time until the operators have written the settings again after a
	// restore of the store.
	maxRewriteDelay = 500 * time.Millisecond
	// maxRepeatDelay bounds how late a backend server sends an answer once more.
	maxRepeatDelay = 40 * time.Millisecond
)

// drain is a backend server whose announcement that it is draining was acknowledged.
type drain struct {
	node     *node
	instance *instance.Instance
	ackedAt  time.Time
}

// withdrawal is an API key that was removed from the settings. ackedAt is the time after
// the store had the new settings.
type withdrawal struct {
	key     string
	ackedAt time.Time
}

// rateLimit is a limit that a backend server named from one time to another.
type rateLimit struct {
	instance *instance.Instance
	ratePerS uint64
	from, to time.Time
}

// faultInjector injects faults into the mesh and records the key withdrawals and drains
// that the checks need.
type faultInjector struct {
	f               *fleet
	callers         *callers
	rng             *rand.Rand
	settingsVersion int
	// kinds is the number of faultKinds that are drawn from.
	kinds int

	mu        sync.Mutex
	busyNodes map[*node]bool
	// active holds the faults that are active, by name and node.
	active      map[string]bool
	storeBusy   bool
	withdrawals []withdrawal
	drains      []drain
	limits      []rateLimit
	// oddAccepted holds the announcements with a number out of range that a node accepted.
	oddAccepted []string
	// leavers are the backend servers that said only in their answers that they were leaving.
	leavers []*instance.Instance
	// disturbed holds, by node, when faults of the node itself ended.
	disturbed map[*node][]time.Time
	injected  []string
}

// run starts random faults for the duration, up to maxOverlappingFaults at a time, and
// waits until all of them have ended.
func (inj *faultInjector) run(duration time.Duration) {
	var wg sync.WaitGroup
	running := make(chan struct{}, maxOverlappingFaults)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(faultInterval) {
		running <- struct{}{}
		kind, node, other := inj.rng.IntN(inj.kinds), inj.f.nodes[inj.rng.IntN(len(inj.f.nodes))], inj.f.nodes[inj.rng.IntN(len(inj.f.nodes))]
		duration := time.Duration(inj.rng.Int64N(int64(maxFaultDuration)))
		wg.Go(func() {
			defer func() { <-running }()
			inj.injectIfFree(kind, node, other, duration)
		})
	}
	wg.Wait()
}

// fault is one kind of failure.
type fault struct {
	name string
	// onStore marks a fault that affects the store instead of a node. Only one of them is
	// active at a time.
	onStore bool
	// overlaps marks a fault that may be active together with others of the node.
	overlaps bool
	// inject returns when the fault has ended.
	inject func(inj *faultInjector, n, other *node, duration time.Duration)
}

var faultKinds = []fault{
	{"kill", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		<-n.signal(syscall.SIGKILL)
		time.Sleep(d)
		n.start()
	}},
	{"stop", false, false, func(inj *faultInjector, n, _ *node, _ time.Duration) { <-n.signal(syscall.SIGTERM); n.start() }},
	{"freeze", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
	}},
	{"cut", false, false, func(inj *faultInjector, n, o *node, d time.Duration) {
		inj.cutLinks(d, [2]string{n.name, o.name}, [2]string{o.name, n.name})
	}},
	{"cut one way", false, false, func(inj *faultInjector, n, o *node, d time.Duration) { inj.cutLinks(d, [2]string{n.name, o.name}) }},
	{"cut from store", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.cutLinks(2*d, [2]string{n.name, storeName}, [2]string{storeName, n.name})
	}},
	{"store's answers cut", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) { inj.cutLinks(2*d, [2]string{storeName, n.name}) }},
	{"reset", false, false, func(inj *faultInjector, n, _ *node, _ time.Duration) { inj.f.links.Reset(n.name) }},
	{"silence", false, false, func(inj *faultInjector, n, _ *node, _ time.Duration) { inj.f.links.Silence(n.name) }},
	{"delay", false, false, func(inj *faultInjector, n, o *node, d time.Duration) {
		inj.f.links.SetDelay(n.name, o.name, linkDelay)
		time.Sleep(d)
		inj.f.links.SetDelay(n.name, o.name, 0)
	}},
	{"store down", true, false, func(inj *faultInjector, _, _ *node, d time.Duration) {
		inj.injectStoreFaults(platform.Faults{Down: true}, 2*d)
	}},
	{"store slow", true, false, func(inj *faultInjector, _, _ *node, d time.Duration) {
		inj.injectStoreFaults(platform.Faults{DelayMs: 200}, 2*d)
	}},
	{"store loses answers", true, false, func(inj *faultInjector, _, _ *node, d time.Duration) {
		inj.injectStoreFaults(platform.Faults{LoseWriteAnswers: true, FailEvery: 3, DelayMs: 20}, 2*d)
	}},
	{"store forgets", true, false, func(inj *faultInjector, _, _ *node, _ time.Duration) { inj.f.store.DropHistory() }},
	{"withdraw", true, false, func(inj *faultInjector, _, _ *node, _ time.Duration) { inj.withdrawKey() }},
	{"answers lost", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{DropAnswer: true}, d)
	}},
	{"answers cut", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{TruncateAnswer: true}, d)
	}},
	{"extra answers", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{ForeignAnswer: true}, d)
	}},
	{"sheds", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{Shed: true}, d)
	}},
	{"slow", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{Delay: 300 * time.Millisecond}, d)
	}},
	{"crash", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) {
		id := n.currentInstance().ID
		n.stopInstance()
		time.Sleep(d)
		n.startInstance(id)
	}},
	{"replace", false, false, func(inj *faultInjector, n, _ *node, _ time.Duration) { inj.drainAndReplace(n) }},
	{"store restored", true, false, func(inj *faultInjector, n, _ *node, d time.Duration) { inj.restoreStore(d) }},
	{"rate limit", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) { inj.limitRate(n, d) }},
	{"leave", false, false, func(inj *faultInjector, n, _ *node, _ time.Duration) { inj.leaveSilently(n) }},
	{"refusals repeated", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{ShedEvery: 2, RepeatAfter: 1 + d%maxRepeatDelay}, d)
	}},
	{"heads cut", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{TruncateHead: true}, d)
	}},
	{"departure forgotten", false, false, func(inj *faultInjector, n, _ *node, d time.Duration) { inj.departAndRestart(n, d) }},
	{"late announcement", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) {
		i := n.currentInstance()
		late := i.Announcement("ready")
		if i.IsDraining() {
			// A backend server that drains or has left announces nothing new.
			return
		}
		time.Sleep(2 * d)
		_, _ = i.SendAnnouncement(late)
	}},
	{"odd announcement", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) { inj.announceOddly(n, d) }},
	{"uploads reset", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) {
		inj.injectBackendFaults(n, instance.Faults{ResetUpload: true}, d)
	}},
	{"heads malformed", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) {
		edit := headEdits[int(d)%len(headEdits)]
		inj.injectBackendFaults(n, instance.Faults{EditAnswer: func(answer string) string { return strings.Replace(answer, edit[0], edit[1], 1) }}, d)
	}},
	{"reloads", false, true, func(inj *faultInjector, n, _ *node, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(heartbeatInterval) {
			n.reload()
		}
	}},
}

// headEdits turn an answer into one whose head HTTP does not allow.
var headEdits = [][2]string{
	{"200 OK", "000 None"}, {"200 OK", "099 Low"}, {"HTTP/1.1", "HTTP/2.0"}, {"Response-Seal", "X Note: 1\r\nResponse-Seal"},
	{"Content-Length:", "Connection: close\r\nContent-Length :"}, {"Content-Length", "\tmore\r\nContent-Length"},
	{"Response-Seal", "X\x01Note: 1\r\nResponse-Seal"}, {"200 OK", "200 OK\rX-Note: 1"},
}

// injectIfFree injects one fault, unless its node or, for a fault of the store, the store
// already has one.
func (inj *faultInjector) injectIfFree(kind int, n, other *node, duration time.Duration) {
	f := faultKinds[kind]
	inj.mu.Lock()
	// Two rate limits of one backend server at once would end each other early.
	active := f.name + " " + n.name
	isBusy := inj.busyNodes[n] && !f.overlaps || f.onStore && inj.storeBusy || inj.active[active]
	if !isBusy {
		inj.active[active] = true
		inj.busyNodes[n] = inj.busyNodes[n] || !f.onStore && !f.overlaps
		inj.storeBusy = inj.storeBusy || f.onStore
		inj.injected = append(inj.injected, active)
	}
	inj.mu.Unlock()
	if isBusy {
		return
	}
	f.inject(inj, n, other, duration)
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.active, active)
	if f.onStore {
		inj.storeBusy = false
		return
	}
	if f.overlaps {
		return
	}
	inj.busyNodes[n] = false
	inj.disturbed[n] = append(inj.disturbed[n], time.Now())
}

func (inj *faultInjector) cutLinks(duration time.Duration, directions ...[2]string) {
	for _, d := range directions {
		inj.f.links.SetCut(d[0], d[1], true)
	}
	time.Sleep(duration)
	for _, d := range directions {
		inj.f.links.SetCut(d[0], d[1], false)
	}
}

func (inj *faultInjector) injectStoreFaults(f platform.Faults, duration time.Duration) {
	inj.f.store.SetFaults(f)
	time.Sleep(duration)
	inj.f.store.SetFaults(platform.Faults{})
}

func (inj *faultInjector) injectBackendFaults(n *node, f instance.Faults, duration time.Duration) {
	i := n.currentInstance()
	i.SetFaults(f)
	time.Sleep(duration)
	i.SetFaults(instance.Faults{})
}

// drainAndReplace shuts a backend server down in an orderly way and starts a new instance:
// the old one announces that it is draining, goes on serving, deregisters and stops.
func (inj *faultInjector) drainAndReplace(n *node) {
	i := n.currentInstance()
	n.mu.Lock()
	n.stopAnnouncing()
	n.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < maxFaultDuration; time.Sleep(heartbeatInterval) {
		if status, err := i.Announce("draining"); err == nil && status == http.StatusOK {
			inj.mu.Lock()
			inj.drains = append(inj.drains, drain{n, i, time.Now()})
			inj.mu.Unlock()
			break
		}
	}
	time.Sleep(drainServingTime)
	_, _ = i.Deregister()
	n.stopInstance()
	n.startInstance(fmt.Sprintf("i-%s-%d", n.name, n.instancesStarted))
}

// departAndRestart shuts a backend server down that deregisters at first and serves on. The node is then
// killed, and an announcement that was on its way all the while arrives after its start.
func (inj *faultInjector) departAndRestart(n *node, d time.Duration) {
	i := n.currentInstance()
	n.mu.Lock()
	n.stopAnnouncing()
	n.mu.Unlock()
	late := i.Announcement("ready")
	if status, err := i.Deregister(); err == nil && status == http.StatusOK {
		inj.mu.Lock()
		inj.drains = append(inj.drains, drain{n, i, time.Now()})
		inj.mu.Unlock()
	}
	<-n.signal(syscall.SIGKILL)
	n.start()
	time.Sleep(d)
	for begin := time.Now(); time.Since(begin) < maxFaultDuration; time.Sleep(heartbeatInterval) {
		if status, err := i.SendAnnouncement(late); err == nil && status == http.StatusOK {
			break
		}
	}
	time.Sleep(drainServingTime)
	n.stopInstance()
	n.startInstance(fmt.Sprintf("i-%s-%d", n.name, n.instancesStarted))
}

// oddChanges turn an announcement into one with a number out of range.
var oddChanges = [][2]string{
	{`"slots":8`, `"slots":9223372036854775807`}, {`"slots":8`, `"slots":1e400`}, {`"coldRemainingMs":0`, `"coldRemainingMs":1e300`},
	{`"sequence":`, `"sequence":18446744073709551`}, {`"born":`, `"born":99`}, {`"born":`, `"born":-`},
}

// announceOddly sends announcements with numbers out of range under the ID of the backend server.
func (inj *faultInjector) announceOddly(n *node, d time.Duration) {
	i := n.currentInstance()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		for _, change := range oddChanges {
			odd := strings.Replace(string(i.Announcement("ready")), change[0], change[1], 1)
			if status, err := i.SendAnnouncement([]byte(odd)); err == nil && status == http.StatusOK {
				inj.mu.Lock()
				inj.oddAccepted = append(inj.oddAccepted, odd)
				inj.mu.Unlock()
			}
		}
	}
}

// leaveSilently shuts a backend server down that says only in its answers that it is leaving.
func (inj *faultInjector) leaveSilently(n *node) {
	i := n.currentInstance()
	i.SetLeaving()
	inj.mu.Lock()
	inj.leavers = append(inj.leavers, i)
	inj.mu.Unlock()
	time.Sleep(drainServingTime)
	_, _ = i.Deregister()
	n.stopInstance()
	n.startInstance(fmt.Sprintf("i-%s-%d", n.name, n.instancesStarted))
}

// limitRate makes a backend server name a rate limit.
func (inj *faultInjector) limitRate(n *node, d time.Duration) {
	i := n.currentInstance()
	limit := rateLimit{instance: i, ratePerS: uint64(1 + d%maxLimitRate), from: time.Now()}
	i.SetRateLimit(limit.ratePerS)
	time.Sleep(minLimitDuration + d)
	limit.to = time.Now()
	i.SetRateLimit(0)
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.limits = append(inj.limits, limit)
}

// restoreStore takes the store away and brings it back from a copy as old as the outage is long. The
// operators write their settings again a moment later.
func (inj *faultInjector) restoreStore(d time.Duration) {
	inj.f.store.SetFaults(platform.Faults{Down: true})
	time.Sleep(d)
	lost := inj.f.store.Restore(2 * d)
	inj.f.store.SetFaults(platform.Faults{})
	time.Sleep(d % maxRewriteDelay)
	for _, row := range lost {
		if row.Table == "op" {
			inj.f.store.Put(row.RowName, row.Value)
		}
	}
}

// withdrawKey removes the older key of the large account from the settings and adds a new
// one.
func (inj *faultInjector) withdrawKey() {
	inj.callers.mu.Lock()
	keys := inj.callers.keys["large"]
	old := keys[len(keys)-2]
	inj.callers.keys["large"] = append(keys, fmt.Sprintf("large-%d", len(keys)))
	inj.callers.mu.Unlock()
	inj.putSettings()
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.withdrawals = append(inj.withdrawals, withdrawal{old, time.Now()})
}

// putSettings writes a new version of the settings to the store. The last two keys of each
// account are valid.
func (inj *faultInjector) putSettings() {
	inj.callers.mu.Lock()
	defer inj.callers.mu.Unlock()
	inj.settingsVersion++
	lastTwoKeys := func(account string) string {
		keys := inj.callers.keys[account]
		return fmt.Sprintf("[%q,%q]", keys[len(keys)-2], keys[len(keys)-1])
	}
	inj.f.store.Put(platform.RowName{Table: "op", Key: "config"}, fmt.Appendf(nil, `{"version":%d,
	"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","public","service"],"rows":[
	["safe","h","/safe/","safe",1200,1000,2,2,false,"front"],
	["unsafe","h","/unsafe/","unsafe",1200,1000,0,2,false,"deep"]]},
	"services":{"columns":["name","healthPath"],"rows":[["front",%q],["deep",null]]},
	"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[
	["large",%s,1,1000,1000],["small",%s,1,%d,%d]]}}`, inj.settingsVersion, instance.HealthPath, lastTwoKeys("large"), lastTwoKeys("small"), smallRatePerS, smallBurst))
}
