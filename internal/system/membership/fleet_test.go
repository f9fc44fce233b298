package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// network carries messages between managers in one process and counts their bytes.
type network struct {
	managers map[string]*Manager
	bytes    atomic.Int64
}

var errUnreachable = errors.New("unreachable")

// through encodes a message as it would go over the network.
func (n *network) through(from, to proto.Message) {
	data, err := proto.Marshal(from)
	if err != nil {
		panic(err)
	}
	n.bytes.Add(int64(len(data)))
	if err := proto.Unmarshal(data, to); err != nil {
		panic(err)
	}
}

// Sync implements Transport.
func (n *network) Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	m := n.managers[address]
	if m == nil {
		return nil, errUnreachable
	}
	time.Sleep(time.Duration(1+rand.IntN(3)) * time.Millisecond)
	in, out := &peerpb.SyncRequest{}, &peerpb.SyncReply{}
	n.through(req, in)
	reply, err := m.HandleSync(ctx, in)
	n.through(reply, out)
	return out, err
}

// Probe implements Transport.
func (n *network) Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := n.managers[address]
	if m == nil {
		return nil, errUnreachable
	}
	return m.HandleProbe(ctx, req)
}

// noStore is a platform that is down.
type noStore struct{ platform.Store }

func (noStore) Transact(context.Context, platform.Tx) error {
	return &platform.Error{Kind: platform.Unavailable}
}

func (noStore) Scan(context.Context, string) ([]platform.Row, error) {
	return nil, &platform.Error{Kind: platform.Unavailable}
}

type instance struct {
	manager *Manager
	members *table.Members
	locals  *table.Locals
}

// startFleet runs n managers that know two contacts.
func startFleet(ctx context.Context, n int) (*network, []instance) {
	net := &network{managers: map[string]*Manager{}}
	clk := clock.Boot{}
	fleet := make([]instance, n)
	for i := range fleet {
		address := fmt.Sprintf("10.%d.%d.%d:7004", i%12, i/250, i%250)
		endpoints := table.NewEndpoints(clk)
		x := instance{members: table.NewMembers(clk, endpoints), locals: table.NewLocals()}
		x.locals.Announce(table.Local{
			Service: fmt.Sprintf("service-%03d", i%40), Address: "10.0.0.1:8000", Slots: 80, Connections: 600,
			State: table.Ready, Heard: clk.Now().Add(time.Hour),
		})
		x.manager = New(Options{
			Self:    dispatch.Self{ID: fmt.Sprintf("node-%05d", i), Domain: fmt.Sprintf("domain-%02d", i%12), Incarnation: uint64(time.Now().UnixNano())},
			Address: address, Deployment: "d", Contacts: []string{"10.0.0.0:7004", "10.1.0.1:7004"},
		}, clk, x.members, endpoints, x.locals, net, noStore{}, metric.NewSet(), zerolog.Nop())
		net.managers[address] = x.manager
		fleet[i] = x
	}
	for _, x := range fleet {
		go x.manager.Run(ctx)
	}
	return net, fleet
}

// until waits until check holds at all instances and returns how long that took.
func until(fleet []instance, check func(*table.Members) bool) time.Duration {
	begin := time.Now()
	for i := 0; i < len(fleet); {
		if check(fleet[i].members) {
			i++
			continue
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet measures whole instances in one process: how long joining and a
// change take to reach all, and what a node costs in a calm fleet.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, n)
			}
		})
	}
}

func benchmarkFleet(b *testing.B, n int) {
	const calm = 10 * time.Second
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	net, fleet := startFleet(ctx, n)
	joined := until(fleet, func(m *table.Members) bool { return m.Len() == n })
	time.Sleep(calm)

	bytes, used := net.bytes.Load(), processorTime()
	time.Sleep(calm)
	perNode := float64(n) * calm.Seconds()
	b.ReportMetric(float64(net.bytes.Load()-bytes)/perNode, "calm-bytes/s/node")
	b.ReportMetric(float64((processorTime()-used).Microseconds())/perNode, "calm-cpu-us/s/node")

	l, _ := fleet[0].locals.Get("service-000")
	l.State = table.Draining
	bytes = net.bytes.Load()
	fleet[0].locals.Announce(l)
	spread := until(fleet, func(m *table.Members) bool {
		r, ok := m.Get("node-00000")
		return ok && len(r.Endpoints) == 1 && r.Endpoints[0].State == table.Draining
	})
	time.Sleep(calm)
	b.ReportMetric(joined.Seconds(), "join-s")
	b.ReportMetric(spread.Seconds(), "change-s")
	b.ReportMetric(float64(net.bytes.Load()-bytes)/perNode, "change-bytes/s/node")
}
