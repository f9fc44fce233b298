package admin

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"

	"comfreycart.dev/comfreycart/internal/settings"
)

const (
	// keyEntropyBytes is the number of random bytes in a key.
	keyEntropyBytes = 24
	// keyIDLength is the length of a key ID: a prefix of the key's hash, in hex digits.
	keyIDLength = 16
)

func newKey() string {
	raw := make([]byte, keyEntropyBytes)
	_, _ = rand.Read(raw)
	return "ck_" + base64.RawURLEncoding.EncodeToString(raw)
}

func (h *Handler) grantKey(w http.ResponseWriter, r *http.Request) {
	team, account := r.PathValue("team"), r.PathValue("account")
	if !h.authorize(w, r, team) {
		return
	}
	key := newKey()
	hash := settings.HashKey(key)
	grant := func(t *settings.Tree) error {
		subtree := t.Teams[team]
		if _, ok := subtree.Accounts[account]; !ok {
			return &settings.ValidationError{Path: "/teams/" + team + "/accounts/" + account, Problem: "there is no such account"}
		}
		if subtree.Keys == nil {
			subtree.Keys = map[string]settings.Key{}
		}
		subtree.Keys[hash] = settings.Key{Account: account, Note: r.URL.Query().Get("note")}
		t.Teams[team] = subtree
		return nil
	}
	h.commitChange(w, r, grant, func(a *Accepted) {
		a.Key = key
		a.KeyID = hash[:keyIDLength]
	})
}

func (h *Handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	team, account, id := r.PathValue("team"), r.PathValue("account"), r.PathValue("id")
	if !h.authorize(w, r, team) {
		return
	}
	withdraw := func(t *settings.Tree) error {
		for hash, k := range t.Teams[team].Keys {
			if k.Account == account && len(id) >= keyIDLength && strings.HasPrefix(hash, id) {
				delete(t.Teams[team].Keys, hash)
				return nil
			}
		}
		path := fmt.Sprintf("/teams/%s/keys/%s", team, id)
		return &settings.ValidationError{Path: path, Problem: "account " + account + " has no such key"}
	}
	h.commitChange(w, r, withdraw, nil)
}
