package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/table"
)

// network is a Transport between managers in one process. It counts the encoded bytes of
// Sync requests and replies.
type network struct {
	mu       sync.RWMutex
	managers map[string]*Manager
	bytes    atomic.Int64
}

var errUnreachable = errors.New("unreachable")

// reencode marshals from, counts its bytes, and unmarshals it into to.
func (n *network) reencode(from, to proto.Message) {
	data, err := proto.Marshal(from)
	if err != nil {
		panic(err)
	}
	n.bytes.Add(int64(len(data)))
	if err := proto.Unmarshal(data, to); err != nil {
		panic(err)
	}
}

// Sync implements Transport. It adds a delay of 1 to 3 ms.
func (n *network) Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	m := n.managerAt(address)
	if m == nil {
		return nil, errUnreachable
	}
	time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
	in, out := &peerpb.SyncRequest{}, &peerpb.SyncReply{}
	n.reencode(req, in)
	reply, err := m.HandleSync(ctx, in)
	n.reencode(reply, out)
	return out, err
}

// Probe implements Transport.
func (n *network) Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := n.managerAt(address)
	if m == nil {
		return nil, errUnreachable
	}
	return m.HandleProbe(ctx, req)
}

// unavailableStore is a platform whose requests all fail.
type unavailableStore struct{ platform.Store }

func (unavailableStore) Transact(context.Context, platform.Tx) (platform.Version, error) {
	return 0, &platform.Error{Kind: platform.Unavailable}
}

func (unavailableStore) Scan(context.Context, string) ([]platform.Row, error) {
	return nil, &platform.Error{Kind: platform.Unavailable}
}

// instance is a manager with its tables.
type instance struct {
	manager *Manager
	members *table.Members
	locals  *table.LocalBackends
}

// startFleet starts n managers, which all have the same two contacts.
func startFleet(ctx context.Context, n int) (*network, []instance) {
	net := &network{managers: map[string]*Manager{}}
	fleet := make([]instance, n)
	for i := range fleet {
		fleet[i] = net.add(i)
	}
	for _, inst := range fleet {
		go inst.manager.Run(ctx)
	}
	return net, fleet
}

// add creates instance number i without starting it.
func (n *network) add(i int) instance {
	clk := clock.Boot{}
	address := fmt.Sprintf("10.%d.%d.%d:7004", i%12, i/250, i%250)
	endpoints := table.NewEndpoints(clk)
	inst := instance{members: table.NewMembers(clk, endpoints), locals: table.NewLocalBackends(table.HeartbeatTimeout)}
	inst.locals.Set(table.LocalBackend{
		Service: fmt.Sprintf("service-%03d", i%40), Address: "10.0.0.1:8000", Slots: 80, Connections: 600,
		State: table.Ready, LastHeard: clk.Now().Add(time.Hour),
	})
	inst.manager = New(Options{
		Self:    dispatch.Self{ID: fmt.Sprintf("node-%05d", i), Domain: fmt.Sprintf("domain-%02d", i%12), Incarnation: uint64(time.Now().UnixNano())},
		Address: address, Deployment: "d", Contacts: []string{"10.0.0.0:7004", "10.1.0.1:7004"},
	}, clk, inst.members, endpoints, inst.locals, n, unavailableStore{}, metric.NewSet(), zerolog.Nop())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.managers[address] = inst.manager
	return inst
}

// managerAt returns the manager at address, or nil if there is none.
func (n *network) managerAt(address string) *Manager {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.managers[address]
}

// waitForAll waits until check has been true once at each instance and returns the time
// taken.
func waitForAll(fleet []instance, check func(*table.Members) bool) time.Duration {
	start := time.Now()
	for i := 0; i < len(fleet); {
		if check(fleet[i].members) {
			i++
			continue
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleet runs complete managers in one process. It measures how long a start of all
// nodes, a changed record and a new node take to become known everywhere, and the traffic
// and CPU time per node while nothing changes.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, n)
			}
		})
	}
}

// waitForEmptyQueues waits until the queue of changes has been empty once at each instance.
func waitForEmptyQueues(fleet []instance) {
	for i := 0; i < len(fleet); {
		m := fleet[i].manager
		m.mu.Lock()
		queued := m.machine.QueuedCount()
		m.mu.Unlock()
		if queued == 0 {
			i++
			continue
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func benchmarkFleet(b *testing.B, n int) {
	const measureTime = 10 * time.Second
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	net, fleet := startFleet(ctx, n)
	joined := waitForAll(fleet, func(m *table.Members) bool { return m.Len() == n })
	waitForEmptyQueues(fleet)

	bytes, cpu := net.bytes.Load(), cpuTime()
	time.Sleep(measureTime)
	nodeSeconds := float64(n) * measureTime.Seconds()
	b.ReportMetric(float64(net.bytes.Load()-bytes)/nodeSeconds, "calm-bytes/s/node")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/nodeSeconds, "calm-cpu-us/s/node")

	local, _ := fleet[0].locals.Get("service-000")
	local.State = table.Draining
	bytes = net.bytes.Load()
	fleet[0].locals.Set(local)
	spread := waitForAll(fleet, func(m *table.Members) bool {
		r, ok := m.Get("node-00000")
		return ok && len(r.Endpoints) == 1 && r.Endpoints[0].State == table.Draining
	})
	time.Sleep(measureTime)
	waitForEmptyQueues(fleet)

	start := time.Now()
	newcomer := net.add(n)
	go newcomer.manager.Run(ctx)
	waitForAll(fleet, func(m *table.Members) bool {
		r, ok := m.Get(fmt.Sprintf("node-%05d", n))
		return ok && len(r.Endpoints) == 1
	})
	b.ReportMetric(time.Since(start).Seconds(), "newcomer-known-s")
	waitForAll([]instance{newcomer}, func(m *table.Members) bool { return m.Len() == n+1 })
	b.ReportMetric(time.Since(start).Seconds(), "newcomer-knows-s")
	b.ReportMetric(joined.Seconds(), "all-at-once-s")
	b.ReportMetric(spread.Seconds(), "change-s")
	b.ReportMetric(float64(net.bytes.Load()-bytes)/nodeSeconds, "change-bytes/s/node")
}
