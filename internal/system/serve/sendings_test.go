package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/system/serve"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/platform"
)

// headerAttempt names a call to the platform's backend servers, and headerSending one sending of it to the
// test.
const (
	headerAttempt = "Attempt-Id"
	headerSending = "Test-Sending"
)

// repeatingBackend is a backend server that runs or refuses each request and may write an answer
// once more, late, on the same connection.
type repeatingBackend struct {
	address string
	// answer returns the answer to a request and whether it runs.
	answer func(r *http.Request) (text string, runs bool)
	// copyDelay returns how long after an answer its copy follows, and whether there is one.
	copyDelay func() (time.Duration, bool)

	mu          sync.Mutex
	ran         map[string]bool
	connections int
}

func (b *repeatingBackend) start(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	b.address, b.ran = lis.Addr().String(), map[string]bool{}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.connections++
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
}

func (b *repeatingBackend) serve(c net.Conn) {
	defer c.Close()
	var write sync.Mutex
	send := func(text string) {
		write.Lock()
		defer write.Unlock()
		_, _ = io.WriteString(c, text)
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		text, runs := b.answer(r)
		if runs {
			b.mu.Lock()
			b.ran[r.Header.Get(headerSending)] = true
			b.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
		send(text)
		if delay, ok := b.copyDelay(); ok {
			time.AfterFunc(delay, func() { send(text) })
		}
	}
}

func (b *repeatingBackend) hasRun(sending string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[sending]
}

// refusal and success are answers in the platform's format.
func refusal(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(headerAttempt))
}

func success(r *http.Request) string {
	sending := r.Header.Get(headerSending)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(headerAttempt), len(sending), sending)
}

// newServer returns the server of a node beside the backend server.
func (b *repeatingBackend) newServer(d serve.Dialect) *serve.Server {
	m := metric.NewSet()
	locals := table.NewLocalBackends(time.Hour)
	locals.ApplyHealth(table.Announcement{Instance: "i", Service: "s", Address: b.address, Slots: 50, State: table.Ready}, 1, clock.Boot{}.Now())
	return serve.New(clock.Boot{}, table.NewCalls(), locals, fence.New(clock.Boot{}), d, memory.NewBudget(64<<20, m), m, logging.RequestLog(zerolog.Nop()))
}

// send sends a call of the caller's attempt. sending identifies this sending.
func send(ctx context.Context, s *serve.Server, attempt, sending string) call.Result {
	return s.Handle(ctx, &call.Call{
		ID: call.NewID(), Service: "s", AnswerLimit: 1 << 20, Deadline: clock.Boot{}.Now().Add(10 * time.Second),
		Request: &call.Request{Method: http.MethodPost, Path: "/", Header: http.Header{headerAttempt: {attempt}, headerSending: {sending}}},
	})
}

// A late second copy of a refusal was taken for the answer to the next sending of the same call on the
// connection, which ran: the call was sent a third time or reported as not run.
func TestLateCopyOfARefusalIsNoAnswerToALaterSending(t *testing.T) {
	refused := map[string]bool{}
	var mu sync.Mutex
	b := &repeatingBackend{
		answer: func(r *http.Request) (string, bool) {
			mu.Lock()
			defer mu.Unlock()
			attempt := r.Header.Get(headerAttempt)
			if !refused[attempt] {
				refused[attempt] = true
				return refusal(r), false
			}
			time.Sleep(20 * time.Millisecond)
			return success(r), true
		},
		copyDelay: func() (time.Duration, bool) { return 3 * time.Millisecond, true },
	}
	b.start(t)
	s := b.newServer(platform.Backend{})
	for n := range 5 {
		attempt := fmt.Sprint("attempt-", n)
		r := send(t.Context(), s, attempt, attempt+"-1")
		require.Equal(t, call.NotRun, r.Failure.Outcome)
		r = send(t.Context(), s, attempt, attempt+"-2")
		require.Nil(t, r.Failure, "the second sending runs")
		require.Equal(t, attempt+"-2", string(r.Answer.Body))
	}
}

// A seeded mix of refusals, successes and late copies of both: each result is that of its own sending.
func TestResultsAreThoseOfTheirOwnSending(t *testing.T) {
	const (
		attempts = 60
		sendings = 6
		workers  = 8
	)
	for seed := range uint64(4) {
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(seed, 1))
		draw := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64()
		}
		b := &repeatingBackend{
			answer: func(r *http.Request) (string, bool) {
				if draw() < 0.5 {
					return refusal(r), false
				}
				return success(r), true
			},
			copyDelay: func() (time.Duration, bool) {
				return time.Duration(8 * draw() * float64(time.Millisecond)), draw() < 0.5
			},
		}
		b.start(t)
		s := b.newServer(platform.Backend{})
		next := make(chan int)
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() {
				for n := range next {
					for k := range sendings {
						attempt, sending := fmt.Sprint("a", n), fmt.Sprint("a", n, "-", k)
						r := send(t.Context(), s, attempt, sending)
						switch {
						case r.Answer != nil:
							assert.Equal(t, sending, string(r.Answer.Body), "seed %d", seed)
						case r.Failure.Outcome == call.NotRun:
							assert.False(t, b.hasRun(sending), "seed %d: %s ran and was reported as not run", seed, sending)
						default:
							// A connection may end with foreign bytes; the outcome is unknown then.
						}
					}
				}
			})
		}
		for n := range attempts {
			next <- n
		}
		close(next)
		wg.Wait()
	}
}

// A backend server that names no calls in its answers may repeat a refusal too. The next call must not
// get the copy.
func TestLateCopyOfAnUnnamedRefusalReachesNoOtherCall(t *testing.T) {
	refuse := true
	var mu sync.Mutex
	b := &repeatingBackend{
		answer: func(*http.Request) (string, bool) {
			mu.Lock()
			defer mu.Unlock()
			refuse = !refuse
			if !refuse {
				return "HTTP/1.1 503 Service Unavailable\r\nComfreycart-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", false
			}
			time.Sleep(20 * time.Millisecond)
			return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", true
		},
		copyDelay: func() (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			return 3 * time.Millisecond, !refuse
		},
	}
	b.start(t)
	s := b.newServer(&serve.NativeDialect{})
	for n := range 5 {
		r := send(t.Context(), s, "", fmt.Sprint(n, "-refused"))
		require.Equal(t, call.NotRun, r.Failure.Outcome)
		r = send(t.Context(), s, "", fmt.Sprint(n, "-runs"))
		require.Nil(t, r.Failure)
		require.Equal(t, "done", string(r.Answer.Body))
	}
}

// Connections are kept for many calls although each carries a call's ID only once.
func TestConnectionIsKeptForCallsWithDifferentIDs(t *testing.T) {
	const calls = 600
	b := &repeatingBackend{
		answer:    func(r *http.Request) (string, bool) { return success(r), false },
		copyDelay: func() (time.Duration, bool) { return 0, false },
	}
	b.start(t)
	s := b.newServer(platform.Backend{})
	for n := range calls {
		require.Nil(t, send(t.Context(), s, fmt.Sprint("a", n), "x").Failure)
	}
	require.Equal(t, 2, b.connections, "a connection is closed after 512 calls")
}
