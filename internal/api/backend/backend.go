// Package backend serves the HTTP endpoint at which the backend servers on this VM announce
// themselves.
package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	maxAnnouncementBytes = 64 << 10
	// heartbeatMs is the interval at which a backend server is asked to announce itself.
	heartbeatMs = 500
)

// Announcement is the body of a backend server's announcement.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the backend server accepts calls, as IP:port.
	Address string `json:"address"`
	// Slots is how many calls it runs concurrently; 0 means the service's setting.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts from all nodes; 0 means the service's
	// setting.
	Connections int `json:"connections"`
	// State is ready, warming or draining.
	State string `json:"state"`
}

// Acknowledgement is the response to an announcement.
type Acknowledgement struct {
	// Egress is the base URL to which the backend server sends its sub-calls.
	Egress string `json:"egress"`
	// HeartbeatMs is the requested interval between announcements in milliseconds.
	HeartbeatMs int `json:"heartbeatMs"`
}

// Observer registers the metrics of announced services. A service may be registered again.
type Observer interface {
	RegisterGauges(service string)
}

// Handler serves announcements. It is safe for concurrent use.
type Handler struct {
	clock    clock.Clock
	views    entry.Views
	locals   *table.LocalBackends
	observer Observer
	egress   string
}

// New returns a handler; egress is the URL that backend servers are given for their sub-calls.
func New(c clock.Clock, v entry.Views, locals *table.LocalBackends, o Observer, egress string) *Handler {
	return &Handler{clock: c, views: v, locals: locals, observer: o, egress: egress}
}

// Routes returns the HTTP handler for the backend servers' listener.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", h.announce)
	return mux
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeBadRequest(w, "", err.Error())
		return
	}
	if path, detail := h.validate(&a); detail != "" {
		writeBadRequest(w, path, detail)
		return
	}
	h.locals.Set(table.LocalBackend{
		Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		State: table.EndpointState(a.State), LastHeard: h.clock.Now(),
	})
	h.observer.RegisterGauges(a.Service)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Acknowledgement{Egress: h.egress, HeartbeatMs: heartbeatMs})
}

// validate checks an announcement and fills in missing sizes from the service's settings. It
// returns the JSON pointer of the first invalid field and what is wrong with it, or "" and "".
func (h *Handler) validate(a *Announcement) (path, detail string) {
	if a.Service == "" {
		return "/service", "is required"
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "/address", fmt.Sprintf("%q: want IP:port", a.Address)
	}
	switch table.EndpointState(a.State) {
	case table.Ready, table.Warming, table.Draining:
	default:
		return "/state", fmt.Sprintf("%q: want ready, warming or draining", a.State)
	}
	if v := h.views.View(); v != nil {
		s := v.Services[a.Service]
		if a.Slots == 0 {
			a.Slots = s.Slots
		}
		if a.Connections == 0 {
			a.Connections = s.Connections
		}
	}
	if a.Slots < 1 || a.Slots > call.MaxSlots {
		return "/slots", fmt.Sprintf("must be from 1 to %d, here or in the service's settings", call.MaxSlots)
	}
	if a.Connections < 0 || a.Connections > call.MaxSlots {
		return "/connections", fmt.Sprintf("must be from 0 to %d", call.MaxSlots)
	}
	return "", ""
}

func writeBadRequest(w http.ResponseWriter, path, detail string) {
	problem.WriteDocument(w, problem.Document{
		Status: http.StatusBadRequest, Reason: call.BadRequest, Detail: detail, Path: path,
	})
}
