package peer

import (
	"bytes"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/test/heap"
)

// What has the address of a peer writes bytes without end until the connection is closed. The calls fail
// with an unknown outcome, and the process stays within the smallest VM's memory.
func TestBytesWithoutEndFromAPeerAreBounded(t *testing.T) {
	heap.LimitToSmallestVM(t)
	const calls = 16
	// header is that of a drpc frame of 32 KiB that is not the last of its message.
	header := []byte{2 << 1, 1, 1, 0x80, 0x80, 0x02}
	for name, block := range map[string][]byte{
		"text":                bytes.Repeat([]byte("HTTP/1.1 200 OK\r\n"), 2000),
		"zeroes":              make([]byte, 32<<10),
		"high bytes":          bytes.Repeat([]byte{0xff}, 32<<10),
		"message without end": append(header, make([]byte, 32<<10)...),
		"other messages":      append([]byte{2<<1 | 1, 9, 9}, append(header[3:], make([]byte, 32<<10)...)...),
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = lis.Close() })
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						for {
							if _, err := c.Write(block); err != nil {
								return
							}
						}
					}()
				}
			}()
			bodies := memory.NewBudget(heap.SmallestVMBytes/4, metric.NewSet())
			client := NewClient(clock.Boot{}, Source{}, nil, bodies)
			defer client.Close()
			results := make([]call.Result, calls)
			runtime.GC()
			peak := heap.Peak(func() {
				var wg sync.WaitGroup
				for i := range results {
					wg.Go(func() {
						_, results[i] = sendBody(t, client, &table.Endpoint{Node: "b", Address: lis.Addr().String()}, 1<<10)
					})
				}
				wg.Wait()
			})
			t.Logf("peak of %d MiB", peak>>20)
			require.Less(t, peak, uint64(heap.SmallestVMBytes))
			for _, r := range results {
				require.NotNil(t, r.Failure)
				require.Equal(t, call.Unknown, r.Failure.Outcome)
				require.Contains(t, []call.Reason{call.PeerLost, call.AnswerMemory}, r.Failure.Reason)
			}
		})
	}
}
