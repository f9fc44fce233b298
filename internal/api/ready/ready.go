// Package ready tells the platform whether callers may be sent to this node.
package ready

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/entry"
)

// SettingsAge tells how long ago the settings were last known to be in force.
type SettingsAge interface {
	Age() time.Duration
}

// Handler answers the question. It is safe for concurrent use.
type Handler struct {
	views entry.Views
	settingsAge  SettingsAge
	// maxSettingsAge is the age of the settings from which other nodes serve callers better.
	maxSettingsAge    time.Duration
	stopping atomic.Bool
	log      zerolog.Logger

	mu   sync.Mutex
	lastReason string
}

// New returns a handler for a node that is not ready once its settings are stale.
func New(v entry.Views, a SettingsAge, stale time.Duration, log zerolog.Logger) *Handler {
	return &Handler{views: v, settingsAge: a, maxSettingsAge: stale, log: log}
}

// Stop makes the node not ready for good.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Routes returns the listener's handler, which answers at path.
func (h *Handler) Routes(path string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+path, h)
	return mux
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	why := h.notReadyReason()
	h.logChange(why)
	if why == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, why, http.StatusServiceUnavailable)
}

// notReadyReason is why the node is not ready, empty if it is.
func (h *Handler) notReadyReason() string {
	switch {
	case h.stopping.Load():
		return "stopping"
	case h.views.View() == nil:
		return "no settings yet"
	case h.settingsAge.Age() > h.maxSettingsAge:
		return "settings are stale"
	}
	return ""
}

// logChange logs a change.
func (h *Handler) logChange(why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if why == h.lastReason {
		return
	}
	h.lastReason = why
	h.log.Info().Bool("ready", why == "").Str("reason", why).Dur("settings_age_ms", h.settingsAge.Age()).Msg("readiness changed")
}
