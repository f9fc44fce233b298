// Package announce takes the announcements of the VM's backend server where they are
// written as the platform writes them.
package announce

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
)

// maxAnnouncementBytes bounds an announcement.
const maxAnnouncementBytes = 64 << 10

// Codec reads announcements. It is safe for concurrent use.
type Codec interface {
	// Heartbeat decodes what an instance says of itself.
	Heartbeat(id string, body []byte) (table.Announcement, error)
	// Departure decodes an instance's word that it is gone.
	Departure(id string, body []byte) (table.Announcement, error)
}

// Observer is told of each announced service.
type Observer interface {
	RegisterGauges(service string)
}

// ExpectedBackend is the backend server that belongs to the VM.
type ExpectedBackend struct {
	Service, Address string
}

// Handler takes announcements. It is safe for concurrent use.
type Handler struct {
	expected ExpectedBackend
	path     string
	codec    Codec
	clock    clock.Clock
	locals   *table.LocalBackends
	observer Observer
	invalid  *metrics.Counter
	outOfOrder      *metrics.Counter
	log      zerolog.Logger
}

// New returns a handler for announcements whose path is the given one and an
// instance's ID.
func New(e ExpectedBackend, path string, codec Codec, c clock.Clock, l *table.LocalBackends, o Observer, m *metric.Set, log zerolog.Logger) *Handler {
	return &Handler{
		expected: e, path: path, codec: codec, clock: c, locals: l, observer: o, log: log,
		invalid: m.Counter("comfreycart_announcements_refused_total", "reason", "invalid"),
		outOfOrder:     m.Counter("comfreycart_announcements_refused_total", "reason", "old"),
	}
}

// Routes returns the listener's handler.
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
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	if a.Service != h.expected.Service || a.Address != h.expected.Address {
		h.invalid.Inc()
		h.log.Warn().Str("instance", a.Instance).Str("service", a.Service).Str("address", a.Address).
			Msg("announcement of a backend server that is not this VM's")
		http.Error(w, "not the backend server of this VM", http.StatusBadRequest)
		return
	}
	before, known := h.locals.Get(a.Service)
	if !h.locals.ApplyAnnouncement(a, h.clock.Now()) {
		h.outOfOrder.Inc()
		h.log.Info().Str("instance", a.Instance).Uint64("sequence", a.Sequence).
			Str("known", before.Instance).Uint64("known_sequence", before.Sequence).Msg("announcement is old")
	} else if !known || before.State != a.State && before.State != table.Warming || before.Instance != a.Instance {
		h.log.Info().Str("instance", a.Instance).Uint64("sequence", a.Sequence).Str("state", string(a.State)).
			Int("slots", a.Slots).Msg("backend server announced")
	}
	h.observer.RegisterGauges(a.Service)
	acknowledge(w)
}

func (h *Handler) departure(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	a, err := h.codec.Departure(r.PathValue("id"), body)
	if err != nil {
		h.rejectInvalid(w, err)
		return
	}
	known := h.locals.ApplyDeparture(a, h.clock.Now())
	h.log.Info().Str("instance", a.Instance).Bool("known", known).Msg("backend server departed")
	acknowledge(w)
}

func (h *Handler) rejectInvalid(w http.ResponseWriter, err error) {
	h.invalid.Inc()
	h.log.Warn().Err(err).Msg("announcement cannot be read")
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}
