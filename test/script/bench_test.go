package script

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// BenchmarkAddedLatency measures the latency that two nodes add to a request. It
// alternates requests through the nodes with requests sent directly to the same
// backend server, so that both see the same load on the machine.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b.TempDir())
	f.withoutLinks = true
	defer f.close()
	keys := map[string]string{}
	require.NoError(b, f.start("vysocina", 3))
	require.NoError(b, f.configure(examplesDir()+"/vysocina.json", func(k, v string) { keys[k] = v }))
	require.NoError(b, f.startBackend("node2", "stock", []string{"--delay-ms", "2"}))
	require.NoError(b, await(readyTimeout, func() error { return f.checkReady("node1", 1, 1) }))
	backendURL, err := f.backend("node2", "stock")
	require.NoError(b, err)
	n, err := f.node("node1")
	require.NoError(b, err)

	nodeRequest := request{url: "http://" + n.Listen.Caller, method: "GET", path: "/stock/1", apiKey: keys["KEY_praha_duvets"]}
	directRequest := request{url: backendURL, method: "GET", path: "/stock/1"}
	var nodeTimes, directTimes []time.Duration
	cpuBefore := []time.Duration{f.cpuTime(b, "node1"), f.cpuTime(b, "node2")}
	for b.Loop() {
		directTimes = append(directTimes, timeRequest(b, directRequest))
		nodeTimes = append(nodeTimes, timeRequest(b, nodeRequest))
	}
	reportAddedLatency(b, directTimes, nodeTimes)
	b.ReportMetric(float64((f.cpuTime(b, "node1")-cpuBefore[0]).Microseconds())/float64(b.N), "entry-cpu-us/op")
	b.ReportMetric(float64((f.cpuTime(b, "node2")-cpuBefore[1]).Microseconds())/float64(b.N), "serve-cpu-us/op")
}

// cpuTime returns the processor time that a process's threads have used since
// it started, background work such as membership and settings traffic included.
func (f *fleet) cpuTime(b *testing.B, name string) time.Duration {
	p, err := f.process(name)
	require.NoError(b, err)
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	require.NoError(b, err)
	var sum time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(b, err)
		ns, err := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
		require.NoError(b, err)
		sum += time.Duration(ns)
	}
	return sum
}

// BenchmarkClaimLatency measures the latency that claiming an idempotency key adds to
// a non-idempotent request. It alternates such requests with lookups that take the
// same backend time and the same nodes.
func BenchmarkClaimLatency(b *testing.B) {
	f := newFleet(b.TempDir())
	f.withoutLinks = true
	defer f.close()
	keys := map[string]string{}
	require.NoError(b, f.start("vysocina", 3))
	require.NoError(b, f.configure(examplesDir()+"/vysocina.json", func(k, v string) { keys[k] = v }))
	require.NoError(b, f.startBackend("node2", "stock", []string{"--delay-ms", "2"}))
	require.NoError(b, f.startBackend("node2", "orders", []string{"--delay-ms", "2"}))
	require.NoError(b, await(readyTimeout, func() error { return f.checkReady("node1", 1, 2) }))
	n, err := f.node("node1")
	require.NoError(b, err)

	lookup := request{url: "http://" + n.Listen.Caller, method: "GET", path: "/stock/1", apiKey: keys["KEY_praha_duvets"]}
	order := request{url: lookup.url, method: "POST", path: "/orders", apiKey: keys["KEY_praha_duvets"]}
	order.idempotencyKey = uuid.Must(uuid.NewV7()).String()
	timeRequest(b, order)
	var lookups, orders []time.Duration
	for b.Loop() {
		order.idempotencyKey = uuid.Must(uuid.NewV7()).String()
		lookups = append(lookups, timeRequest(b, lookup))
		orders = append(orders, timeRequest(b, order))
	}
	reportAddedLatency(b, lookups, orders)
}

// timeRequest sends q, requires status 200 and returns how long the answer took.
func timeRequest(b *testing.B, q request) time.Duration {
	begin := time.Now()
	out, err := q.send()
	took := time.Since(begin)
	require.NoError(b, err)
	require.Equal(b, 200, out.status, out.body)
	return took
}

// reportAddedLatency reports the difference and the ratio of the p50 and p99
// latencies. It sorts both slices in place.
func reportAddedLatency(b *testing.B, direct, through []time.Duration) {
	slices.Sort(direct)
	slices.Sort(through)
	for _, percentile := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		d := direct[int(float64(len(direct)-1)*percentile.fraction)]
		t := through[int(float64(len(through)-1)*percentile.fraction)]
		b.ReportMetric(float64((t - d).Microseconds()), percentile.name+"-added-us")
		b.ReportMetric(float64(t)/float64(d), percentile.name+"-ratio")
	}
}
