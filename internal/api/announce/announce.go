// Package announce serves the HTTP endpoint at which the VM's own backend server announces
// itself in the platform's format: heartbeats with PUT, departures with DELETE.
package announce

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// Codec decodes announcements in the platform's format. It is safe for concurrent use.
type Codec interface {
	// Heartbeat decodes the heartbeat of the instance id.
	Heartbeat(id string, body []byte) (table.Announcement, error)
	// Departure decodes the departure of the instance id.
	Departure(id string, body []byte) (table.Announcement, error)
}

// Observer registers the metrics of announced services. A service may be registered again.
type Observer interface {
	RegisterGauges(service string)
}

// ExpectedBackend identifies the backend server of this VM, the only one that may announce
// itself here.
type ExpectedBackend struct {
	Service, Address string
}

// Handler serves announcements. It is safe for concurrent use.
type Handler struct {
	expected   ExpectedBackend
	path       string
	codec      Codec
	clock      clock.Clock
	locals     *table.LocalBackends
	observer   Observer
	invalid    *metrics.Counter
	outOfOrder *metrics.Counter
	// unconfirmed counts announcements of instances that are not known to be alive.
	unconfirmed *metrics.Counter
	log         zerolog.Logger
}

// New returns a handler for announcements at path followed by the instance's ID. path ends with
// a slash.
func New(e ExpectedBackend, path string, codec Codec, c clock.Clock, l *table.LocalBackends, o Observer, m *metric.Set, log zerolog.Logger) *Handler {
	return &Handler{
		expected: e, path: path, codec: codec, clock: c, locals: l, observer: o, log: log,
		invalid:     m.Counter("comfreycart_announcements_refused_total", "reason", "invalid"),
		outOfOrder:  m.Counter("comfreycart_announcements_refused_total", "reason", "old"),
		unconfirmed: m.Counter("comfreycart_announcements_unconfirmed_total"),
	}
}

// Routes returns the HTTP handler for the announcements' listener.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+h.path+"{id}", h.heartbeat)
	mux.HandleFunc("DELETE "+h.path+"{id}", h.departure)
	return mux
}

func (h *Handler) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	a, err := h.codec.Heartbeat(r.PathValue("id"), body)
	if err == nil {
		err = a.Validate(time.Now())
	}
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	if a.Service != h.expected.Service || a.Address != h.expected.Address {
		h.invalid.Inc()
		h.log.Warn().Str("instance", a.Instance).Str("service", a.Service).Str("address", a.Address).
			Msg("announcement refused: not the backend server of this VM")
		http.Error(w, "not the backend server of this VM", http.StatusBadRequest)
		return
	}
	h.apply(a)
	h.observer.RegisterGauges(a.Service)
	acknowledge(w)
}

// apply applies a valid announcement and logs what became of it, unless it repeats what is known.
func (h *Handler) apply(a table.Announcement) {
	previous, known := h.locals.Get(a.Service)
	candidate, waits := h.locals.Candidate(a.Service)
	event := func() *zerolog.Event {
		return h.log.Info().Str("instance", a.Instance).Uint64("sequence", a.Sequence).Time("started", a.StartedAt).
			Str("state", string(a.State))
	}
	switch h.locals.ApplyAnnouncement(a, h.clock.Now()) {
	case table.Outdated:
		h.outOfOrder.Inc()
		event().Str("known", previous.Instance).Uint64("known_sequence", previous.Sequence).Bool("known_departed", previous.Departed).
			Msg("outdated announcement ignored")
	case table.Unconfirmed:
		h.unconfirmed.Inc()
		if !waits || candidate.Instance != a.Instance || !candidate.StartedAt.Equal(a.StartedAt) {
			event().Str("known", previous.Instance).Msg("announced backend server waits for its health check")
		}
	case table.Applied:
		if !known || previous.State != a.State && previous.State != table.Warming || previous.Instance != a.Instance {
			event().Int("slots", a.Slots).Msg("backend server announced")
		}
	}
}

func (h *Handler) departure(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	a, err := h.codec.Departure(r.PathValue("id"), body)
	if err == nil {
		err = a.ValidateStart(time.Now())
	}
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	known := h.locals.ApplyDeparture(a, h.clock.Now())
	h.log.Info().Str("instance", a.Instance).Bool("known", known).Msg("backend server departed")
	acknowledge(w)
}

// rejectInvalid answers 400, counts and logs an announcement that cannot be read or decoded.
func (h *Handler) rejectInvalid(w http.ResponseWriter, err error) {
	h.invalid.Inc()
	h.log.Warn().Err(err).Msg("invalid announcement refused")
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}
