package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	"comfreycart.dev/comfreycart/internal/table"
)

// limitedBackend is a backend server that may name a rate limit or be leaving, with the node beside
// it.
type limitedBackend struct {
	server  *Server
	locals  *table.LocalBackends
	address string
	// header is the value of the rate limit's header, empty for none.
	header   atomic.Pointer[string]
	leaving  atomic.Bool
	arrivals atomic.Int64
}

const limitedSlots = 50

func startLimitedBackend(t *testing.T) *limitedBackend {
	b := &limitedBackend{}
	b.name("")
	b.address = startBackend(t, func(r *http.Request, c net.Conn) {
		b.arrivals.Add(1)
		header := ""
		if rate := *b.header.Load(); rate != "" {
			header = HeaderRateLimit + ": " + rate + "\r\n"
		}
		if b.leaving.Load() {
			header += HeaderLeaving + ": 1\r\n"
		}
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nComfreycart-Call: %s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get(HeaderCall), header))
	}).address
	b.restartNode()
	return b
}

func (b *limitedBackend) name(rate string) { b.header.Store(&rate) }

// restartNode replaces the node beside the backend server by a new one.
func (b *limitedBackend) restartNode() {
	m := metric.NewSet()
	b.locals = table.NewLocalBackends(time.Minute)
	b.server = New(clock.Boot{}, table.NewCalls(), b.locals, fence.New(clock.Boot{}), &NativeDialect{}, memory.NewBudget(1<<20, m), m, logging.RequestLog(zerolog.Nop()))
	b.announce(1)
}

func (b *limitedBackend) announce(started int64) {
	announce(b.locals, table.Announcement{
		Instance: "i", StartedAt: time.UnixMilli(started), Service: "s", Address: b.address, Slots: limitedSlots, State: table.Ready,
	})
}

// announce announces an instance whose health check confirms it.
func announce(l *table.LocalBackends, a table.Announcement) {
	l.ApplyAnnouncement(a, clock.Boot{}.Now())
	l.ApplyHealth(a, clock.Boot{}.Now(), clock.Boot{}.Now())
}

func (b *limitedBackend) send(t *testing.T, n *call.Notice) call.Result {
	return b.server.Handle(t.Context(), &call.Call{
		ID: call.NewID(), Service: "s", AnswerLimit: 1 << 10, Deadline: clock.Boot{}.Now().Add(5 * time.Second), Notice: n,
		Request: &call.Request{Method: http.MethodGet, Path: "/"},
	})
}

// flood sends calls from many senders at once for a while, each with the notice, and returns the
// number of calls that reached the backend server.
func (b *limitedBackend) flood(t *testing.T, d time.Duration, n *call.Notice) int64 {
	before := b.arrivals.Load()
	end := time.Now().Add(d)
	var senders sync.WaitGroup
	for range 2 * limitedSlots {
		senders.Go(func() {
			for time.Now().Before(end) {
				if f := b.send(t, n).Failure; f != nil {
					assert.Equal(t, call.NotRun, f.Outcome)
					assert.Equal(t, call.RateLimited, f.Reason)
					assert.Positive(t, f.RetryAfter)
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	senders.Wait()
	return b.arrivals.Load() - before
}

// mostInSeconds returns how many calls a backend server may get that has named the rate: those of
// the time, of one burst and of the queue that the end of the flood leaves.
func mostInSeconds(rate, seconds float64) float64 { return rate * (seconds + 0.25 + 0.5) }

func TestBackendServerIsNotSentMoreThanTheRateItNamed(t *testing.T) {
	b := startLimitedBackend(t)
	b.name("40")
	r := b.send(t, nil)
	require.Equal(t, 40.0, r.Feedback.Notice.Rate)
	require.LessOrEqual(t, float64(b.flood(t, time.Second, nil)), mostInSeconds(40, 1))

	b.name("")
	require.Eventually(t, func() bool { return b.send(t, nil).Feedback.Notice == nil }, time.Second, time.Millisecond)
	require.Greater(t, float64(b.flood(t, 200*time.Millisecond, nil)), 2*mostInSeconds(40, 0.2))
}

func TestRestartedNodeKeepsToTheRateThatItsSendersKnow(t *testing.T) {
	b := startLimitedBackend(t)
	b.name("40")
	known := b.send(t, nil).Feedback.Notice
	b.restartNode()
	require.LessOrEqual(t, float64(b.flood(t, time.Second, known)), mostInSeconds(40, 1))
}

// A sender may have heard of a limit that has ended, or that an earlier instance named.
func TestOutdatedNoticeOfASenderSetsNoLimit(t *testing.T) {
	b := startLimitedBackend(t)
	known := &call.Notice{Instance: "i", StartedAt: time.UnixMilli(1), RateLimited: true, Rate: 1}
	require.Nil(t, b.send(t, nil).Feedback.Notice)
	require.Nil(t, b.send(t, known).Feedback.Notice, "this node has an answer since")

	b.restartNode()
	b.announce(2)
	require.Nil(t, b.send(t, known).Feedback.Notice, "another start of the instance")
}

func TestNewInstanceBeginsWithoutRateLimit(t *testing.T) {
	b := startLimitedBackend(t)
	b.name("1")
	require.True(t, b.send(t, nil).Feedback.Notice.LimitsRate())
	b.name("")
	b.announce(2)
	require.Nil(t, b.send(t, nil).Feedback.Notice)
	require.Nil(t, b.send(t, nil).Failure)
}

// A limit that is not a number changes nothing.
func TestMalformedRateLimitIsIgnored(t *testing.T) {
	b := startLimitedBackend(t)
	for _, text := range []string{"many", "-1", "NaN", "Inf", "1e999"} {
		b.name(text)
		require.Nil(t, b.send(t, nil).Feedback.Notice, text)
	}
	b.name("30")
	require.Equal(t, 30.0, b.send(t, nil).Feedback.Notice.Rate)
	b.name("many")
	require.Equal(t, 30.0, b.send(t, nil).Feedback.Notice.Rate)
}

func requireDraining(t *testing.T, r call.Result) {
	require.NotNil(t, r.Failure)
	require.Equal(t, call.Draining, r.Failure.Reason)
	require.Equal(t, call.NotRun, r.Failure.Outcome)
}

// Not even an announcement that it is ready, which may have been delayed, brings it back.
func TestBackendServerThatSaysItIsLeavingGetsNoMoreCalls(t *testing.T) {
	b := startLimitedBackend(t)
	b.leaving.Store(true)
	require.True(t, b.send(t, nil).Feedback.Notice.Leaving)
	requireDraining(t, b.send(t, nil))
	b.announce(1)
	requireDraining(t, b.send(t, nil))
	require.EqualValues(t, 1, b.arrivals.Load())

	b.leaving.Store(false)
	b.announce(2)
	require.Nil(t, b.send(t, nil).Failure, "the next instance at the address")
}

func TestRestartedNodeSendsNoCallOfASenderThatKnowsOfTheLeaving(t *testing.T) {
	b := startLimitedBackend(t)
	b.leaving.Store(true)
	known := b.send(t, nil).Feedback.Notice
	b.restartNode()
	requireDraining(t, b.send(t, known))
	requireDraining(t, b.send(t, nil))
	require.EqualValues(t, 1, b.arrivals.Load())
}

// Without instance IDs, the next announcement may be that of another instance.
func TestBackendServerWithoutInstanceIDIsBackAfterItsNextAnnouncement(t *testing.T) {
	b := startLimitedBackend(t)
	row := table.LocalBackend{Service: "s", Address: b.address, Slots: limitedSlots, State: table.Ready, LastHeard: clock.Boot{}.Now()}
	other := row
	other.Service = "other"
	b.locals.Set(row)
	b.locals.Set(other)
	b.leaving.Store(true)
	require.True(t, b.send(t, nil).Feedback.Notice.Leaving)
	requireDraining(t, b.send(t, nil))
	unchanged, _ := b.locals.Get("other")
	require.Equal(t, table.Ready, unchanged.State)

	b.leaving.Store(false)
	b.locals.Set(row)
	require.Nil(t, b.send(t, nil).Feedback.Notice)
}
