package serve

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/table"
)

// A backend server that loses answers is reported to the other members, with what it fails; one
// that has started again begins without failures.
func TestFailuresOfTheOwnBackendServerAreReported(t *testing.T) {
	var losing atomic.Bool
	losing.Store(true)
	b := startBackend(t, func(r *http.Request, c net.Conn) {
		if losing.Load() {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, formatAnswer(r.Header.Get(HeaderCall), "whole"))
	})
	clk := clock.Boot{}
	m := metric.NewSet()
	locals := table.NewLocalBackends(time.Minute)
	s := New(clk, table.NewCalls(), locals, fence.New(clk), &NativeDialect{}, memory.NewBudget(1<<20, m), m, logging.RequestLog(zerolog.Nop()))
	announceStart := func(instance string, started int64) {
		announce(locals, table.Announcement{
			Instance: instance, StartedAt: time.UnixMilli(started), Service: "s", Address: b.address, Slots: 4, State: table.Ready,
		})
	}
	send := func() {
		s.Handle(t.Context(), &call.Call{
			ID: call.NewID(), Service: "s", AnswerLimit: 1 << 10, Deadline: clk.Now().Add(5 * time.Second),
			Request: &call.Request{Method: http.MethodGet, Path: "/"},
		})
	}
	announceStart("i-1", 1)
	for range 10 {
		send()
	}
	s.ReportFailures()
	require.Greater(t, locals.FailurePermille("s"), 500)
	_, before := locals.All()
	s.ReportFailures()
	_, after := locals.All()
	require.Equal(t, before, after, "an unchanged rate is no change of the record")

	losing.Store(false)
	announceStart("i-2", 2)
	send()
	s.ReportFailures()
	require.Zero(t, locals.FailurePermille("s"))
}
