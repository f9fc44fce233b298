// Package settingsync replicates the settings of a deployment from the platform to
// the nodes and commits changes to them.
//
// Settings are stored as objects that are named by their digest. One head row per
// deployment holds the number of the current version and the digest of its manifest, which
// lists the version's objects. The head row is only written by conditional transactions
// that increment the version, so versions never decrease.
//
// The current version of the platform is called the head; the version that a node uses
// is the installed one. A version is settled once it is the head and a majority of the
// members holds it, and fenced once no node acts on an older one any more. In a round, a
// node asks all members to confirm its installed version; a majority proves that no newer
// version was settled when the round started. See package evidence.
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
	Version uint64 `json:"version"`
	// Manifest is the digest of the version's manifest.
	Manifest string `json:"manifest"`
	// Members is the largest member count that was known when the version was committed.
	// Rounds take a majority of at least this many members, less those that have left.
	Members int `json:"members"`
}

// manifestParts is the number of parts that the digests of the teams are split into, so
// that a change of one team transfers one part instead of the digests of all teams.
const manifestParts = 32

// Manifest holds the digests of the objects of one version.
type Manifest struct {
	// Deployment is the digest of the deployment-wide settings.
	Deployment string `json:"deployment"`
	// Homes maps each class of work to the digest of the owners of its slots.
	Homes map[string]string `json:"homes"`
	// Parts holds the digest of each part, or an empty string for a part without teams.
	Parts [manifestParts]string `json:"parts"`
}

// part maps the names of some of the teams to the digests of their objects.
type part map[string]string

// partIndex returns the index of the part that holds a team's digest.
func partIndex(team string) int { return int(xxhash.Sum64String(team) % manifestParts) }

// Digest returns the name of an object: the SHA-256 of its content in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// directDigests returns the digests that the manifest itself contains. It omits the
// objects of the teams, whose digests are in the parts.
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

// teamDigests returns the digests of the teams' objects by team name, decoded from the
// parts in objects.
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

// add encodes v as JSON, stores it and returns its digest.
func (o objectSet) add(v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	d := Digest(data)
	o[d] = data
	return d, nil
}

// splitTree encodes a tree as objects and returns their manifest and the objects by
// digest.
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

// splitTeams adds the objects of the teams and the manifest parts to objects and returns
// the digests of the parts.
func splitTeams(teams map[string]settings.Team, objects objectSet) (partDigests [manifestParts]string, err error) {
	var parts [manifestParts]part
	for name, team := range teams {
		n := partIndex(name)
		if parts[n] == nil {
			parts[n] = part{}
		}
		if parts[n][name], err = objects.add(team); err != nil {
			return partDigests, err
		}
	}
	for n, p := range parts {
		if p == nil {
			continue
		}
		if partDigests[n], err = objects.add(p); err != nil {
			return partDigests, err
		}
	}
	return partDigests, nil
}

// joinTree decodes a tree from a manifest and its objects.
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
