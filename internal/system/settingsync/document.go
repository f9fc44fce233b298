// Package settingsync keeps a node's settings at the version that the platform
// holds, and moves that version forward when an operator changes something.
//
// Settings are objects named by their digest. One head row per deployment names
// the version and the manifest of objects in force; it moves only by a
// conditional transaction, so versions only grow.
package settingsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"comfreycart.dev/comfreycart/internal/settings"
)

// Head is the content of the head row.
type Head struct {
	Version  uint64 `json:"version"`
	Manifest string `json:"manifest"`
	// Members is the number of members that the version was accepted among.
	Members int `json:"members"`
}

// Manifest names the objects of one version by digest.
type Manifest struct {
	Deployment string            `json:"deployment"`
	Teams      map[string]string `json:"teams"`
	Homes      string            `json:"homes"`
}

// Digest returns the name of an object.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Digests returns the digests of all objects that m names.
func (m *Manifest) Digests() []string {
	all := []string{m.Deployment, m.Homes}
	for _, d := range m.Teams {
		all = append(all, d)
	}
	return all
}

// split turns a tree into its objects and their manifest.
func split(t *settings.Tree) (Manifest, map[string][]byte, error) {
	m := Manifest{Teams: map[string]string{}}
	objects := map[string][]byte{}
	add := func(v any) (string, error) {
		data, err := json.Marshal(v)
		if err != nil {
			return "", err
		}
		d := Digest(data)
		objects[d] = data
		return d, nil
	}
	var err error
	if m.Deployment, err = add(t.Deployment); err != nil {
		return m, nil, err
	}
	if m.Homes, err = add(t.Homes); err != nil {
		return m, nil, err
	}
	for name, team := range t.Teams {
		if m.Teams[name], err = add(team); err != nil {
			return m, nil, err
		}
	}
	return m, objects, nil
}

// join turns a manifest and its objects into a tree.
func join(m Manifest, objects map[string][]byte) (*settings.Tree, error) {
	t := &settings.Tree{Teams: map[string]settings.Team{}}
	if err := json.Unmarshal(objects[m.Deployment], &t.Deployment); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(objects[m.Homes], &t.Homes); err != nil {
		return nil, err
	}
	for name, d := range m.Teams {
		var team settings.Team
		if err := json.Unmarshal(objects[d], &team); err != nil {
			return nil, err
		}
		t.Teams[name] = team
	}
	return t, nil
}
