package homes

import (
	"slices"

	"comfreycart.dev/comfreycart/internal/settings"
)

// formerOwners returns the nodes that may still act for a slot after its owner h was
// replaced.
func formerOwners(h settings.Home) []string {
	if h.Node == "" || slices.Contains(h.FormerOwners, h.Node) {
		return h.FormerOwners
	}
	return append(slices.Clone(h.FormerOwners), h.Node)
}

// dropStoppedOwners removes the former owners of each slot whose present owner's first
// settings version is fenced, since they have certainly stopped.
func dropStoppedOwners(h settings.Homes, fenced func(version uint64) bool) {
	for _, slots := range h {
		for i := range slots {
			if len(slots[i].FormerOwners) > 0 && fenced(slots[i].SinceVersion) {
				slots[i].FormerOwners = nil
			}
		}
	}
}

// possibleActors returns the nodes that may act for any slot under these or older
// settings.
func possibleActors(h settings.Homes) []string {
	var out []string
	add := func(id string) {
		if id != "" && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, slots := range h {
		for _, home := range slots {
			add(home.Node)
			for _, id := range home.FormerOwners {
				add(id)
			}
		}
	}
	return out
}
