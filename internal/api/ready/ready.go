// Package ready serves the readiness check, by which the platform decides whether to send
// callers to this node.
package ready

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/entry"
)

// SettingsAge provides the age of the settings.
type SettingsAge interface {
	// Age is how long ago the settings were last confirmed to be in force.
	Age() time.Duration
}

// Handler answers readiness checks. It is safe for concurrent use.
type Handler struct {
	views       entry.Views
	settingsAge SettingsAge
	// maxSettingsAge is the settings age above which the node is not ready, since other nodes
	// then serve callers better.
	maxSettingsAge time.Duration
	stopping       atomic.Bool
	log            zerolog.Logger

	mu         sync.Mutex
	lastReason string
}

// New returns a handler for a node that is not ready while it has no settings or they are older
// than maxSettingsAge.
func New(v entry.Views, age SettingsAge, maxSettingsAge time.Duration, log zerolog.Logger) *Handler {
	return &Handler{views: v, settingsAge: age, maxSettingsAge: maxSettingsAge, log: log}
}

// Stop makes the node permanently not ready.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Routes returns the HTTP handler for the readiness listener, which answers GET requests at path.
func (h *Handler) Routes(path string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+path, h)
	return mux
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reason := h.notReadyReason()
	h.logChange(reason)
	if reason == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// notReadyReason returns why the node is not ready, or "" if it is ready.
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

// logChange logs a change of readiness or of its reason.
func (h *Handler) logChange(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reason == h.lastReason {
		return
	}
	h.lastReason = reason
	h.log.Info().Bool("ready", reason == "").Str("reason", reason).Dur("settings_age_ms", h.settingsAge.Age()).Msg("readiness changed")
}
