package admin

import (
	"errors"
	"net/http"

	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
)

// itemPath is the URL pattern of a single item of a team's settings, such as one service.
const itemPath = "/admin/v1/settings/{team}/{section}/{name}"

func itemPathValues(r *http.Request) (team string, s settings.Section, name string) {
	return r.PathValue("team"), settings.Section(r.PathValue("section")), r.PathValue("name")
}

func (h *Handler) getItem(w http.ResponseWriter, r *http.Request) {
	team, section, name := itemPathValues(r)
	if !h.authorize(w, r, team) {
		return
	}
	tree, _, err := h.acceptor.Read(r.Context())
	if err != nil {
		h.writeError(w, err)
		return
	}
	subtree := tree.Teams[team]
	item, err := subtree.Item(section, name)
	if err != nil {
		writeNotFound(w, err)
		return
	}
	w.Header().Set("ETag", etag(item))
	writeJSON(w, http.StatusOK, item)
}

func (h *Handler) putItem(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	_, section, name := itemPathValues(r)
	h.changeItem(w, r, func(t *settings.Team) error { return t.SetItem(section, name, body) })
}

func (h *Handler) deleteItem(w http.ResponseWriter, r *http.Request) {
	_, section, name := itemPathValues(r)
	h.changeItem(w, r, func(t *settings.Team) error { return t.DeleteItem(section, name) })
}

// changeItem commits a change to one item, provided that the item still matches If-Match.
func (h *Handler) changeItem(w http.ResponseWriter, r *http.Request, change func(*settings.Team) error) {
	team, section, name := itemPathValues(r)
	if !h.authorize(w, r, team) {
		return
	}
	match := r.Header.Get("If-Match")
	h.commitChange(w, r, func(t *settings.Tree) error {
		subtree := t.Teams[team]
		if err := checkIfMatch(&subtree, section, name, match); err != nil {
			return err
		}
		if err := change(&subtree); err != nil {
			return err
		}
		t.Teams[team] = subtree
		return nil
	}, nil)
}

// checkIfMatch returns settingsync.ErrChanged if match, the If-Match header, is not empty and
// differs from the item's entity tag.
func checkIfMatch(t *settings.Team, s settings.Section, name, match string) error {
	if match == "" {
		return nil
	}
	item, err := t.Item(s, name)
	if err != nil || etag(item) != match {
		return settingsync.ErrChanged
	}
	return nil
}

func writeNotFound(w http.ResponseWriter, err error) {
	problem.WriteDocument(w, problem.Document{Status: http.StatusNotFound, Reason: reasonNotFound, Detail: err.Error()})
}

func isItemNotFound(err error) bool {
	var missing *settings.ItemNotFoundError
	return errors.As(err, &missing)
}

func (h *Handler) getSchema(w http.ResponseWriter, _ *http.Request) {
	data, err := settings.Schema()
	if err != nil {
		h.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/schema+json")
	_, _ = w.Write(data)
}
