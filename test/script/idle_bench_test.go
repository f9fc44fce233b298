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

// usageInterval is both the warm-up time and the measured time of an idle fleet.
const usageInterval = 10 * time.Second

// processUsage holds the resources that a process has used since it started.
type processUsage struct {
	cpuTime                 time.Duration
	readBytes, writtenBytes int64
	// residentBytes is the current resident set size.
	residentBytes int64
}

// BenchmarkIdleFleet measures the cost of an idle fleet at several sizes: processor
// time, bytes read and written and resident memory per node, and the platform's
// request rate.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFleet(b.TempDir())
			f.withoutLinks = true
			defer f.close()
			require.NoError(b, f.start("vysocina", n))
			require.NoError(b, f.configure(examplesDir()+"/vysocina.json", func(string, string) {}))
			for i := range n {
				require.NoError(b, f.startBackend(nodeName(i), "stock", nil))
			}
			for i := range n {
				require.NoError(b, await(readyTimeout, func() error { return f.checkReady(nodeName(i), 1, n) }))
			}
			time.Sleep(usageInterval)
			for b.Loop() {
				f.reportUsage(b, n)
			}
		})
	}
}

// reportUsage measures the fleet for usageInterval and reports its costs per node.
func (f *fleet) reportUsage(b *testing.B, n int) {
	readsBefore, writesBefore := f.platformCallCounts(b)
	before := f.processUsages(b, n)
	time.Sleep(usageInterval)
	after := f.processUsages(b, n)
	readsAfter, writesAfter := f.platformCallCounts(b)
	var sum processUsage
	for i := range n {
		sum.cpuTime += after[i].cpuTime - before[i].cpuTime
		sum.readBytes += after[i].readBytes - before[i].readBytes
		sum.writtenBytes += after[i].writtenBytes - before[i].writtenBytes
		sum.residentBytes += after[i].residentBytes
	}
	nodeSeconds := float64(n) * usageInterval.Seconds()
	b.ReportMetric(100*sum.cpuTime.Seconds()/nodeSeconds, "cpu-percent/node")
	b.ReportMetric(float64(sum.readBytes)/nodeSeconds, "read-B/s/node")
	b.ReportMetric(float64(sum.writtenBytes)/nodeSeconds, "written-B/s/node")
	b.ReportMetric(float64(sum.residentBytes)/float64(n)/(1<<20), "resident-MiB/node")
	b.ReportMetric(float64(readsAfter-readsBefore)/usageInterval.Seconds(), "platform-reads/s")
	b.ReportMetric(float64(writesAfter-writesBefore)/usageInterval.Seconds(), "platform-writes/s")
}

// platformCallCounts returns how many reads and writes the platform has received.
func (f *fleet) platformCallCounts(b *testing.B) (reads, writes int) {
	data, err := get("http://" + f.platformAddr() + "/counts")
	require.NoError(b, err)
	var counts struct{ Reads, Writes int }
	require.NoError(b, json.Unmarshal(data, &counts))
	return counts.Reads, counts.Writes
}

// processUsages returns the usage of the first n nodes, in their order.
func (f *fleet) processUsages(b *testing.B, n int) []processUsage {
	out := make([]processUsage, n)
	for i := range n {
		p, err := f.process(nodeName(i))
		require.NoError(b, err)
		pid := p.cmd.Process.Pid
		out[i] = processUsage{
			cpuTime:       f.cpuTime(b, nodeName(i)),
			readBytes:     procField(b, pid, "io", "rchar:"),
			writtenBytes:  procField(b, pid, "io", "wchar:"),
			residentBytes: procField(b, pid, "status", "VmRSS:") << 10,
		}
	}
	return out
}

// procField returns the number after a label in a file under /proc/PID.
func procField(b *testing.B, pid int, file, label string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	require.NoError(b, err)
	_, rest, found := strings.Cut(string(data), label)
	require.True(b, found, label)
	value, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(b, err)
	return value
}
