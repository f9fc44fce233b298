package homes

import (
	"slices"

	"comfreycart.dev/comfreycart/internal/settings"
)

// formerOwners returns the nodes that may still act for a slot when its owner h is replaced.
func formerOwners(h settings.Home) []string {
	if h.Node == "" || slices.Contains(h.Past, h.Node) {
		return h.Past
	}
	return append(slices.Clone(h.Past), h.Node)
}

// dropStoppedOwners drops past owners where the present one's first version is fenced: they have
// surely stopped.
func dropStoppedOwners(h settings.Homes, fenced func(version uint64) bool) {
	for _, slots := range h {
		for i := range slots {
			if len(slots[i].Past) > 0 && fenced(slots[i].Since) {
				slots[i].Past = nil
			}
		}
	}
}

// possibleActors returns the nodes that may act for any slot by these or older settings.
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
			for _, id := range home.Past {
				add(id)
			}
		}
	}
	return out
}
