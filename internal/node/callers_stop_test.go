package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/tcp"
)

// stopCaller sends requests on connections to a server that stops, up to depth at a time.
type stopCaller struct {
	rng     *rand.Rand
	address string
	name    string
	depth   int
	// pause is how long the caller pauses before it reads each answer.
	pause time.Duration
	sent  int

	// answered holds the requests whose whole answer came.
	answered map[string]bool
}

// useConnection sends requests on one connection until it ends.
func (c *stopCaller) useConnection(conn net.Conn) {
	defer conn.Close()
	outstanding := make(chan string, c.depth)
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(outstanding)
		for {
			c.sent++
			id := fmt.Sprintf("%s-%d", c.name, c.sent)
			select {
			case <-ended:
				return
			case outstanding <- id:
			}
			body := strings.Repeat("x", c.rng.IntN(3)*(20<<10))
			if _, err := fmt.Fprintf(conn, "POST /%s?%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", id, c.rng.IntN(200), len(body), body); err != nil {
				return
			}
			time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond)
		}
	})
	in := bufio.NewReader(conn)
	for id := range outstanding {
		time.Sleep(c.pause)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			break
		}
		c.answered[id] = strings.HasPrefix(string(body), "/"+id+" ")
		if resp.Close {
			break
		}
	}
	close(ended)
	for range outstanding {
	}
	wg.Wait()
}

// Callers with several requests outstanding use their connections until the server is gone. Each request
// that was handled is answered whole.
func TestLeavingNodeAnswersWhatItHandled(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			handled := map[string]bool{}
			answer := strings.Repeat("x", 100<<10)
			n := &Node{}
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				handled[r.URL.Path[1:]] = true
				mu.Unlock()
				var ms int
				_, _ = fmt.Sscan(r.URL.RawQuery, &ms)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				_, _ = io.WriteString(w, r.URL.Path+" "+answer[:ms*len(answer)/200])
			})
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			lingering := tcp.NewLingerListener(lis, func(err error) { t.Error(err) })
			c := newCallerServer(api.NewServer(n.closeConnectionsWhileLeaving(handler)), lingering, lingering)
			go c.serve(zerolog.Nop())
			var callers []*stopCaller
			var wg sync.WaitGroup
			for i := range 8 {
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				caller := &stopCaller{
					rng: rng, address: lis.Addr().String(), name: fmt.Sprint(i), depth: 1 + rng.IntN(4),
					pause: time.Duration(rng.IntN(2)*200) * time.Millisecond, answered: map[string]bool{},
				}
				callers = append(callers, caller)
				wg.Go(func() {
					for {
						conn, err := net.Dial("tcp", caller.address)
						if err != nil {
							return
						}
						caller.useConnection(conn)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			n.leaving.Store(true)
			time.Sleep(500 * time.Millisecond)
			c.shutdown(context.Background())
			wg.Wait()
			answered := map[string]bool{}
			for _, caller := range callers {
				for id, isWhole := range caller.answered {
					answered[id] = isWhole
				}
			}
			require.Greater(t, len(handled), 20)
			for id := range handled {
				require.True(t, answered[id], "%s was handled and not answered", id)
			}
		})
	}
}
