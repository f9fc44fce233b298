package announce_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/api/announce"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/platform"
)

type noObserver struct{}

func (noObserver) RegisterGauges(string) {}

const (
	service = "s"
	address = "10.0.0.9:80"
)

// listener is a node's listener for announcements with the table behind it.
type listener struct {
	handler http.Handler
	locals  *table.LocalBackends
	metric  *metric.Set
}

func newListener() *listener {
	l := &listener{locals: table.NewLocalBackends(time.Minute), metric: metric.NewSet()}
	expected := announce.ExpectedBackend{Service: service, Address: address}
	l.handler = announce.New(expected, platform.PathAnnounce, platform.Announcements{}, clock.Boot{}, l.locals, noObserver{}, l.metric, zerolog.Nop()).Routes()
	return l
}

func (l *listener) send(method, body string) int {
	w := httptest.NewRecorder()
	l.handler.ServeHTTP(w, httptest.NewRequest(method, platform.PathAnnounce+"i-1", strings.NewReader(body)))
	return w.Code
}

// confirm answers the health check of the announced instance.
func (l *listener) confirm() {
	now := clock.Boot{}.Now()
	l.locals.ApplyHealth(table.Announcement{Instance: "i-1", Service: service, Address: address}, now, now)
}

func heartbeat(slots, sequence, warmUp, born any) string {
	return fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z","slots":%v},"status":{"state":"ready","sequence":%v,"coldRemainingMs":%v},"born":%v}`,
		address, service, slots, sequence, warmUp, born)
}

// Another writer left a heartbeat with a number out of range. It was taken for a sound one: the highest
// sequence or a start far ahead made all later heartbeats of the backend server count as old, and its
// calls were refused until the node was restarted.
func TestHeartbeatWithANumberOutOfRangeChangesNothing(t *testing.T) {
	l := newListener()
	born := time.Now().Add(-time.Minute).UnixMilli()
	require.Equal(t, http.StatusOK, l.send(http.MethodPut, heartbeat(8, 1, 0, born)))
	l.confirm()
	before, known := l.locals.Get(service)
	require.True(t, known)
	for name, odd := range map[string]string{
		"sequence":            heartbeat(8, "18446744073709551615", 0, born),
		"sequence too large":  heartbeat(8, "9007199254740993", 0, born),
		"sequence below 0":    heartbeat(8, -1, 0, born),
		"born":                heartbeat(8, 2, 0, "9007199254740991"),
		"born at the end":     heartbeat(8, 2, 0, "9223372036854775807"),
		"born an hour ahead":  heartbeat(8, 2, 0, time.Now().Add(time.Hour).UnixMilli()),
		"born below 0":        heartbeat(8, 2, 0, -1),
		"slots":               heartbeat("9223372036854775807", 2, 0, born),
		"slots too many":      heartbeat(65537, 2, 0, born),
		"slots below 0":       heartbeat(-8, 2, 0, born),
		"number too large":    heartbeat("1e400", 2, 0, born),
		"warm-up":             heartbeat(8, 2, "1e300", born),
		"warm-up below 0":     heartbeat(8, 2, -1, born),
		"nested":              strings.Replace(heartbeat(8, 2, 0, born), `"version":"v1"`, `"version":`+strings.Repeat("[", 15000)+strings.Repeat("]", 15000), 1),
		"port out of range":   strings.Replace(heartbeat(8, 2, 0, born), ":80", ":80000", 1),
		"service not here":    strings.Replace(heartbeat(8, 2, 0, born), `"s"`, `"t"`, 1),
		"sequence is missing": strings.Replace(heartbeat(8, 2, 0, born), `"sequence":2,`, ``, 1),
	} {
		require.Equal(t, http.StatusBadRequest, l.send(http.MethodPut, odd), name)
		after, _ := l.locals.Get(service)
		require.Equal(t, before, after, name)
		_, waits := l.locals.Candidate(service)
		require.False(t, waits, name)
	}
	require.Equal(t, http.StatusBadRequest, l.send(http.MethodDelete, `{"born":9007199254740991}`))
	require.Equal(t, uint64(18), l.metric.Counter("comfreycart_announcements_refused_total", "reason", "invalid").Get())

	require.Equal(t, http.StatusOK, l.send(http.MethodPut, heartbeat(8, 2, 0, born)))
	after, _ := l.locals.Get(service)
	require.Equal(t, uint64(2), after.Sequence, "the backend server's own heartbeats go on")
	require.Equal(t, table.Ready, after.State)
}

// A heartbeat is acknowledged while its instance waits for the health check.
func TestHeartbeatOfAnUnknownInstanceIsAcknowledged(t *testing.T) {
	l := newListener()
	require.Equal(t, http.StatusOK, l.send(http.MethodPut, heartbeat(8, 1, 0, 1)))
	_, known := l.locals.Get(service)
	require.False(t, known)
	require.Equal(t, uint64(1), l.metric.Counter("comfreycart_announcements_unconfirmed_total").Get())
	require.Equal(t, http.StatusOK, l.send(http.MethodDelete, ""))
	_, waits := l.locals.Candidate(service)
	require.False(t, waits)
}
