package script

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// controlTime is how long an idle fleet is watched.
const controlTime = 10 * time.Second

// usage is what a process has used so far.
type usage struct {
	cpu           time.Duration
	read, written int64
	// resident is in bytes.
	resident int64
}

// BenchmarkControl measures what an idle fleet of several sizes costs each node:
// processor time, bytes through its sockets, memory, and calls to the platform.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFleet(b.TempDir())
			f.direct = true
			defer f.close()
			require.NoError(b, f.start("vysocina", n))
			require.NoError(b, f.configure(examplesDir()+"/vysocina.json", func(string, string) {}))
			for i := range n {
				require.NoError(b, f.startBackend(nodeName(i), "stock", nil))
			}
			for i := range n {
				require.NoError(b, await(readyTimeout, func() error { return f.ready(nodeName(i), 1, n) }))
			}
			time.Sleep(controlTime)
			for b.Loop() {
				f.watch(b, n)
			}
		})
	}
}

// watch reports the fleet's costs over controlTime.
func (f *fleet) watch(b *testing.B, n int) {
	reads, writes := f.platformCounts(b)
	before := f.usages(b, n)
	time.Sleep(controlTime)
	after := f.usages(b, n)
	laterReads, laterWrites := f.platformCounts(b)
	var sum usage
	for i := range n {
		sum.cpu += after[i].cpu - before[i].cpu
		sum.read += after[i].read - before[i].read
		sum.written += after[i].written - before[i].written
		sum.resident += after[i].resident
	}
	perNode := float64(n) * controlTime.Seconds()
	b.ReportMetric(100*sum.cpu.Seconds()/perNode, "cpu-percent/node")
	b.ReportMetric(float64(sum.read)/perNode, "read-B/s/node")
	b.ReportMetric(float64(sum.written)/perNode, "written-B/s/node")
	b.ReportMetric(float64(sum.resident)/float64(n)/(1<<20), "resident-MiB/node")
	b.ReportMetric(float64(laterReads-reads)/controlTime.Seconds(), "platform-reads/s")
	b.ReportMetric(float64(laterWrites-writes)/controlTime.Seconds(), "platform-writes/s")
}

func (f *fleet) platformCounts(b *testing.B) (reads, writes int) {
	data, err := get("http://" + f.platformAddr() + "/counts")
	require.NoError(b, err)
	var c struct{ Reads, Writes int }
	require.NoError(b, json.Unmarshal(data, &c))
	return c.Reads, c.Writes
}

func (f *fleet) usages(b *testing.B, n int) []usage {
	out := make([]usage, n)
	for i := range n {
		p, err := f.process(nodeName(i))
		require.NoError(b, err)
		pid := p.cmd.Process.Pid
		out[i] = usage{
			cpu:      f.cpu(b, nodeName(i)),
			read:     procField(b, pid, "io", "rchar:"),
			written:  procField(b, pid, "io", "wchar:"),
			resident: procField(b, pid, "status", "VmRSS:") << 10,
		}
	}
	return out
}

// procField returns a number from a file under /proc.
func procField(b *testing.B, pid int, file, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	require.NoError(b, err)
	_, rest, found := strings.Cut(string(data), name)
	require.True(b, found, name)
	v, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(b, err)
	return v
}
