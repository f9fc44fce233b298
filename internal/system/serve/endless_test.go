package serve

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/test/heap"
)

const (
	// endlessFor is how long a backend server writes an answer without end, unless the
	// connection is closed before.
	endlessFor = 2 * time.Second
	// ordinaryCalls is the number of ordinary calls beside the endless ones.
	ordinaryCalls = 20
)

// Load: eight calls at a time to a backend server that writes an answer without end, beside
// ordinary calls. The process stays within the smallest VM's memory, the endless answers fail
// with an unknown outcome, and each ordinary call is answered.
func TestAnswersWithoutEndStayWithinTheMemoryOfAVM(t *testing.T) {
	heap.LimitToSmallestVM(t)
	block := strings.Repeat("x", 32<<10)
	for name, x := range map[string]struct {
		start, repeat string
		reasons       []call.Reason
	}{
		"header value":  {"HTTP/1.1 200 OK\r\nX-Long: ", block, []call.Reason{call.AnswerMalformed}},
		"status line":   {"HTTP/1.1 200 ", block, []call.Reason{call.AnswerMalformed}},
		"header lines":  {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:b\r\n", 1000), []call.Reason{call.AnswerMalformed}},
		"informational": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 500), []call.Reason{call.AnswerMalformed}},
		"body":          {"HTTP/1.1 200 OK\r\n\r\n", block, []call.Reason{call.AnswerMemory, call.AnswerTooLarge}},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + block + "\r\n", []call.Reason{call.AnswerMemory, call.AnswerTooLarge}},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("a:b\r\n", 1000), []call.Reason{call.AnswerTruncated}},
	} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(r *http.Request, c net.Conn) {
				if r.Header.Get(HeaderCall) == "ordinary" {
					_, _ = io.WriteString(c, formatAnswer("ordinary", "whole"))
					return
				}
				_, _ = io.WriteString(c, x.start)
				for end := time.Now().Add(endlessFor); time.Now().Before(end); {
					if _, err := io.WriteString(c, x.repeat); err != nil {
						return
					}
				}
				_ = c.Close()
			})
			bodies := memory.NewBudget(heap.SmallestVMBytes/4, metric.NewSet())
			p := newPool(b.address)
			var mu sync.Mutex
			var endless, ordinary []*call.Failure
			add := func(to *[]*call.Failure, f *call.Failure) {
				mu.Lock()
				defer mu.Unlock()
				*to = append(*to, f)
			}
			var done atomic.Bool
			runtime.GC()
			peak := heap.Peak(func() {
				var wg sync.WaitGroup
				for range 8 {
					wg.Go(func() {
						for !done.Load() {
							add(&endless, runHeldExchange(t, p, "endless", bodies))
						}
					})
				}
				wg.Go(func() {
					defer done.Store(true)
					for range ordinaryCalls {
						add(&ordinary, runHeldExchange(t, p, "ordinary", bodies))
						time.Sleep(endlessFor / ordinaryCalls)
					}
				})
				wg.Wait()
			})
			require.Less(t, peak, uint64(heap.SmallestVMBytes))
			require.GreaterOrEqual(t, len(endless), 8)
			for _, f := range endless {
				require.NotNil(t, f)
				require.Contains(t, x.reasons, f.Reason, f.Detail)
				require.Equal(t, call.Unknown, f.Outcome)
				require.Equal(t, http.StatusBadGateway, f.Status())
			}
			require.Len(t, ordinary, ordinaryCalls)
			for _, f := range ordinary {
				require.Nil(t, f)
			}
			require.Zero(t, bodies.Held(), "all memory is released")
		})
	}
}

// runHeldExchange sends one call with a reservation of its own, as Server does.
func runHeldExchange(t *testing.T, p *pool, handle string, bodies *memory.Budget) *call.Failure {
	clk := clock.Boot{}
	held := bodies.Reserve(memory.SmallBodyBytes)
	defer held.Release()
	c := &call.Call{Service: "s", AnswerLimit: 48 << 20, Deadline: clk.Now().Add(10 * time.Second), Request: &call.Request{Method: "GET", Path: "/"}}
	x := &exchange{dialect: &lenientDialect{}, pool: p, clock: clk, call: c, local: table.LocalBackend{Address: p.address}, handle: handle, held: held}
	_, _, f := x.run(t.Context())
	return f
}
