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
	"maps"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/settings"
)

// Head is the content of the head row.
type Head struct {
	Version  uint64 `json:"version"`
	Manifest string `json:"manifest"`
	// Members is the number of members that the version was accepted among.
	Members int `json:"members"`
}

// manifestParts is the number of parts that the teams' digests are kept in, so that
// a change sends one part instead of all of them.
const manifestParts = 32

// Manifest names the objects of one version by digest.
type Manifest struct {
	Deployment string `json:"deployment"`
	// Homes names the owners' objects by class.
	Homes map[string]string `json:"homes"`
	// Parts names the parts by their number; an empty one has no name.
	Parts [manifestParts]string `json:"parts"`
}

// part names the objects of some of the teams by digest.
type part map[string]string

// partIndex returns the number of the part that names a team's object.
func partIndex(team string) int { return int(xxhash.Sum64String(team) % manifestParts) }

// Digest returns the name of an object.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// directDigests returns the digests of the objects that m names itself.
func (m *Manifest) directDigests() []string {
	all := []string{m.Deployment}
	for _, d := range m.Homes {
		all = append(all, d)
	}
	for _, d := range m.Parts {
		if d != "" {
			all = append(all, d)
		}
	}
	return all
}

// teamDigests returns the digests of the teams' objects, by team, from the parts in objects.
func (m *Manifest) teamDigests(objects map[string][]byte) (map[string]string, error) {
	all := map[string]string{}
	for _, d := range m.Parts {
		if d == "" {
			continue
		}
		var p part
		if err := json.Unmarshal(objects[d], &p); err != nil {
			return nil, err
		}
		maps.Copy(all, p)
	}
	return all, nil
}

// objectSet collects objects by digest.
type objectSet map[string][]byte

// add encodes v and returns its digest.
func (o objectSet) add(v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	d := Digest(data)
	o[d] = data
	return d, nil
}

// splitTree turns a tree into its objects and their manifest.
func splitTree(t *settings.Tree) (Manifest, map[string][]byte, error) {
	m := Manifest{Homes: map[string]string{}}
	objects := objectSet{}
	var err error
	if m.Deployment, err = objects.add(t.Deployment); err != nil {
		return m, nil, err
	}
	for class, slots := range t.Homes {
		if m.Homes[class], err = objects.add(slots); err != nil {
			return m, nil, err
		}
	}
	m.Parts, err = splitTeams(t.Teams, objects)
	return m, objects, err
}

func splitTeams(teams map[string]settings.Team, objects objectSet) (names [manifestParts]string, err error) {
	var parts [manifestParts]part
	for name, team := range teams {
		n := partIndex(name)
		if parts[n] == nil {
			parts[n] = part{}
		}
		if parts[n][name], err = objects.add(team); err != nil {
			return names, err
		}
	}
	for n, p := range parts {
		if p == nil {
			continue
		}
		if names[n], err = objects.add(p); err != nil {
			return names, err
		}
	}
	return names, nil
}

// joinTree turns a manifest and its objects into a tree.
func joinTree(m Manifest, objects map[string][]byte) (*settings.Tree, error) {
	t := &settings.Tree{Teams: map[string]settings.Team{}, Homes: settings.Homes{}}
	if err := json.Unmarshal(objects[m.Deployment], &t.Deployment); err != nil {
		return nil, err
	}
	for class, d := range m.Homes {
		var slots []settings.Home
		if err := json.Unmarshal(objects[d], &slots); err != nil {
			return nil, err
		}
		t.Homes[class] = slots
	}
	teams, err := m.teamDigests(objects)
	if err != nil {
		return nil, err
	}
	for name, d := range teams {
		var team settings.Team
		if err := json.Unmarshal(objects[d], &team); err != nil {
			return nil, err
		}
		t.Teams[name] = team
	}
	return t, nil
}
