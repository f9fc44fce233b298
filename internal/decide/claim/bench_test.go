package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// BenchmarkClaimAndSettle measures one claim with its outcome, and the memory of a record
// with an answer of 200 bytes, in a table that keeps all of them.
func BenchmarkClaimAndSettle(b *testing.B) {
	table := NewTable(Term{First: true}, NewMemoryBudget(1<<40, 1<<40))
	wall := time.Unix(testEpochUnix, 0)
	before := heapBytes()
	for i := range b.N {
		req := testRequest(1)
		binary.BigEndian.PutUint64(req.Key[:], uint64(i))
		table.Claim(clock.Time(i), wall, req)
		table.Settle(clock.Time(i), req, Outcome{Done: true, Answer: &call.Answer{Status: 200, Body: make([]byte, 200)}})
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap-bytes/record")
	runtime.KeepAlive(table)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
