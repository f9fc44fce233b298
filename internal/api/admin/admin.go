// Package admin serves the operators' HTTP API under /admin/v1/: node status, settings, their
// schema, and client accounts' keys.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
)

const maxSettingsBytes = 16 << 20

// Reasons that only the admin API uses in its problem documents.
const (
	reasonForbidden   call.Reason = "forbidden"
	reasonInvalid     call.Reason = "invalid-settings"
	reasonChanged     call.Reason = "changed"
	reasonUnsettled   call.Reason = "unsettled"
	reasonNoMajority  call.Reason = "no-majority"
	reasonNotFound    call.Reason = "not-found"
	reasonUnavailable call.Reason = "platform-unavailable"
)

// Status is the response to GET /admin/v1/status.
type Status struct {
	Node            string `json:"node"`
	SettingsVersion uint64 `json:"settingsVersion"`
	// KnownVersion is the highest settings version that the node knows to exist.
	KnownVersion uint64 `json:"knownVersion"`
	// SettledVersion is the highest version that a majority of members is known to have.
	SettledVersion uint64   `json:"settledVersion"`
	StalenessMs    int64    `json:"stalenessMs"`
	Members        []Member `json:"members"`
}

// Member is a node of the fleet as the responding node sees it.
type Member struct {
	ID        string     `json:"id"`
	Domain    string     `json:"domain"`
	Address   string     `json:"address"`
	State     string     `json:"state"`
	Endpoints []Endpoint `json:"endpoints"`
	// SettingsVersion is the version that the member last reported to have in force; 0 means
	// that it has not reported one yet.
	SettingsVersion uint64 `json:"settingsVersion"`
	// HeardMs is the age of that report in milliseconds.
	HeardMs int64 `json:"heardMs"`
	// Lags is set if that version is below KnownVersion.
	Lags bool `json:"lags"`
}

// Endpoint is a backend server as reported by its node.
type Endpoint struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// StatusSource provides the response to GET /admin/v1/status.
type StatusSource interface {
	Status(ctx context.Context) Status
}

// Handler serves the admin API. It is safe for concurrent use.
type Handler struct {
	tokenHash string
	current   *settingsync.Current
	acceptor  *settingsync.Acceptor
	status    StatusSource
	log       zerolog.Logger
}

// New returns a handler. tokenHash is the hash of the token that may change everything; a
// team's tokens, which may change its subtree, are in the settings.
func New(tokenHash string, c *settingsync.Current, a *settingsync.Acceptor, s StatusSource, log zerolog.Logger) *Handler {
	return &Handler{tokenHash: tokenHash, current: c, acceptor: a, status: s, log: log}
}

// Routes returns the HTTP handler for the admin listener.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/status", h.getStatus)
	mux.HandleFunc("GET /admin/v1/settings", h.getSettings)
	mux.HandleFunc("PUT /admin/v1/settings", h.putSettings)
	mux.HandleFunc("GET /admin/v1/settings/{team}", h.getTeam)
	mux.HandleFunc("PUT /admin/v1/settings/{team}", h.putTeam)
	mux.HandleFunc("GET "+itemPath, h.getItem)
	mux.HandleFunc("PUT "+itemPath, h.putItem)
	mux.HandleFunc("DELETE "+itemPath, h.deleteItem)
	mux.HandleFunc("GET /admin/v1/schema", h.getSchema)
	mux.HandleFunc("POST /admin/v1/keys/{team}/{account}", h.grantKey)
	mux.HandleFunc("DELETE /admin/v1/keys/{team}/{account}/{id}", h.withdrawKey)
	return mux
}

// isAuthorized reports whether the request's token may read and change the settings of team;
// "" stands for the whole tree.
func (h *Handler) isAuthorized(r *http.Request, team string) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	hash := settings.HashKey(token)
	if hash == h.tokenHash {
		return true
	}
	v := h.current.View()
	if v == nil || team == "" {
		return false
	}
	for _, teamHash := range v.Tree.Deployment.TeamTokens[team] {
		if teamHash == hash {
			return true
		}
	}
	return false
}

// authorize reports whether the request's token covers team. If it does not, it has answered
// 403.
func (h *Handler) authorize(w http.ResponseWriter, r *http.Request, team string) bool {
	if h.isAuthorized(r, team) {
		return true
	}
	problem.WriteDocument(w, problem.Document{
		Status: http.StatusForbidden, Reason: reasonForbidden, Detail: "the token does not cover this subtree",
	})
	return false
}

func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request) {
	if h.hasAnyValidToken(r) {
		writeJSON(w, http.StatusOK, h.status.Status(r.Context()))
		return
	}
	h.authorize(w, r, "")
}

// hasAnyValidToken reports whether the request has the operators' token or any team's.
func (h *Handler) hasAnyValidToken(r *http.Request) bool {
	if h.isAuthorized(r, "") {
		return true
	}
	if v := h.current.View(); v != nil {
		for team := range v.Tree.Teams {
			if h.isAuthorized(r, team) {
				return true
			}
		}
	}
	return false
}

func (h *Handler) getSettings(w http.ResponseWriter, r *http.Request) {
	if !h.authorize(w, r, "") {
		return
	}
	tree, _, err := h.acceptor.Read(r.Context())
	if err != nil {
		h.writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(tree))
	writeJSON(w, http.StatusOK, tree)
}

func (h *Handler) getTeam(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("team")
	if !h.authorize(w, r, name) {
		return
	}
	tree, _, err := h.acceptor.Read(r.Context())
	if err != nil {
		h.writeError(w, err)
		return
	}
	team, ok := tree.Teams[name]
	if !ok {
		writeNotFound(w, fmt.Errorf("there is no team %s", name))
		return
	}
	w.Header().Set("ETag", etag(team))
	writeJSON(w, http.StatusOK, team)
}

func (h *Handler) putSettings(w http.ResponseWriter, r *http.Request) {
	if !h.authorize(w, r, "") {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	next, err := settings.Parse(body)
	if err != nil {
		h.writeError(w, err)
		return
	}
	match := r.Header.Get("If-Match")
	h.commitChange(w, r, func(t *settings.Tree) error {
		if match != "" && match != etag(t) {
			return settingsync.ErrChanged
		}
		t.Deployment, t.Teams = next.Deployment, next.Teams
		return nil
	}, nil)
}

func (h *Handler) putTeam(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("team")
	if !h.authorize(w, r, name) {
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	next, err := settings.ParseTeam(body)
	if err != nil {
		h.writeError(w, err)
		return
	}
	match := r.Header.Get("If-Match")
	h.commitChange(w, r, func(t *settings.Tree) error {
		old, exists := t.Teams[name]
		if match != "" && (!exists || match != etag(old)) {
			return settingsync.ErrChanged
		}
		t.Teams[name] = next
		return nil
	}, nil)
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"changeId"`
	// Key is a granted key. It is returned only here: the settings store its hash.
	Key string `json:"key,omitempty"`
	// KeyID identifies the granted key when it is withdrawn.
	KeyID string `json:"keyId,omitempty"`
}

// commitChange commits a change to the settings and writes the response. complete, if not
// nil, adds fields to the response.
func (h *Handler) commitChange(w http.ResponseWriter, r *http.Request, apply func(*settings.Tree) error, complete func(*Accepted)) {
	id := r.Header.Get("Change-Id")
	if id == "" {
		id = uuid.NewString()
	}
	version, err := h.acceptor.Accept(r.Context(), settingsync.Change{
		ID:    id,
		Apply: func(t *settings.Tree, _ uint64) error { return apply(t) },
	})
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.log.Info().Uint64("version", version).Str("change", id).Msg("change accepted")
	a := Accepted{Version: version, ChangeID: id}
	if complete != nil {
		complete(&a)
	}
	writeJSON(w, http.StatusOK, a)
}

// writeError answers with the problem document for an error of reading or changing settings.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	d := problem.Document{Status: http.StatusServiceUnavailable, Reason: reasonUnavailable, Detail: err.Error()}
	var fault *settings.ValidationError
	switch {
	case errors.As(err, &fault):
		d = problem.Document{Status: http.StatusUnprocessableEntity, Reason: reasonInvalid, Detail: fault.Problem, Path: fault.Path}
	case isItemNotFound(err):
		d.Status, d.Reason = http.StatusNotFound, reasonNotFound
	case errors.Is(err, settingsync.ErrChanged):
		d.Status, d.Reason = http.StatusPreconditionFailed, reasonChanged
	case errors.Is(err, settingsync.ErrNoMajority):
		d.Reason = reasonNoMajority
	case errors.Is(err, settingsync.ErrUnsettled):
		d.Status, d.Reason = http.StatusGatewayTimeout, reasonUnsettled
	}
	problem.WriteDocument(w, d)
}

// readBody reads a JSON body of at most maxSettingsBytes. If it returns false, it has answered
// 400.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	var raw json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSettingsBytes)).Decode(&raw); err != nil {
		problem.WriteDocument(w, problem.Document{
			Status: http.StatusBadRequest, Reason: call.BadRequest, Detail: "the body is not JSON: " + err.Error(),
		})
		return nil, false
	}
	return raw, true
}

// etag returns the entity tag of v: a digest of its JSON encoding.
func etag(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return `""`
	}
	return `"` + settingsync.Digest(data)[:32] + `"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
