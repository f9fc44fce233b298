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

// BenchmarkAddedLatency compares requests through two nodes with requests straight
// to the same backend server, taken in turns in one run.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b.TempDir())
	f.direct = true
	defer f.close()
	keys := map[string]string{}
	require.NoError(b, f.start("vysocina", 3))
	require.NoError(b, f.configure(examplesDir()+"/vysocina.json", func(k, v string) { keys[k] = v }))
	require.NoError(b, f.startBackend("node2", "stock", []string{"--delay-ms", "2"}))
	require.NoError(b, await(readyTimeout, func() error { return f.ready("node1", 1, 1) }))
	direct, err := f.backend("node2", "stock")
	require.NoError(b, err)
	n, err := f.node("node1")
	require.NoError(b, err)

	through := request{url: "http://" + n.Listen.Caller, method: "GET", path: "/stock/1", key: keys["KEY_praha_duvets"]}
	straight := request{url: direct, method: "GET", path: "/stock/1"}
	var a, d []time.Duration
	before := []time.Duration{f.cpu(b, "node1"), f.cpu(b, "node2")}
	for b.Loop() {
		d = append(d, timed(b, straight))
		a = append(a, timed(b, through))
	}
	report(b, d, a)
	b.ReportMetric(float64((f.cpu(b, "node1")-before[0]).Microseconds())/float64(b.N), "entry-cpu-us/op")
	b.ReportMetric(float64((f.cpu(b, "node2")-before[1]).Microseconds())/float64(b.N), "serve-cpu-us/op")
}

// cpu returns the processor time that a process's threads have used, control included.
func (f *fleet) cpu(b *testing.B, name string) time.Duration {
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

// BenchmarkClaimLatency compares keyed non-idempotent requests with lookups of the
// same work through the same nodes, taken in turns in one run.
func BenchmarkClaimLatency(b *testing.B) {
	f := newFleet(b.TempDir())
	f.direct = true
	defer f.close()
	keys := map[string]string{}
	require.NoError(b, f.start("vysocina", 3))
	require.NoError(b, f.configure(examplesDir()+"/vysocina.json", func(k, v string) { keys[k] = v }))
	require.NoError(b, f.startBackend("node2", "stock", []string{"--delay-ms", "2"}))
	require.NoError(b, f.startBackend("node2", "orders", []string{"--delay-ms", "2"}))
	require.NoError(b, await(readyTimeout, func() error { return f.ready("node1", 1, 2) }))
	n, err := f.node("node1")
	require.NoError(b, err)

	lookup := request{url: "http://" + n.Listen.Caller, method: "GET", path: "/stock/1", key: keys["KEY_praha_duvets"]}
	order := request{url: lookup.url, method: "POST", path: "/orders", key: keys["KEY_praha_duvets"]}
	order.idempotency = uuid.Must(uuid.NewV7()).String()
	timed(b, order)
	var lookups, orders []time.Duration
	for b.Loop() {
		order.idempotency = uuid.Must(uuid.NewV7()).String()
		lookups = append(lookups, timed(b, lookup))
		orders = append(orders, timed(b, order))
	}
	report(b, lookups, orders)
}

func timed(b *testing.B, q request) time.Duration {
	begin := time.Now()
	out, err := q.send()
	took := time.Since(begin)
	require.NoError(b, err)
	require.Equal(b, 200, out.status, out.body)
	return took
}

func report(b *testing.B, direct, through []time.Duration) {
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		d := direct[int(float64(len(direct)-1)*q.part)]
		t := through[int(float64(len(through)-1)*q.part)]
		b.ReportMetric(float64((t - d).Microseconds()), q.name+"-added-us")
		b.ReportMetric(float64(t)/float64(d), q.name+"-ratio")
	}
}
