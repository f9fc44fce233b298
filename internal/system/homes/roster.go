package homes

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// roster is the members as one look at their table found them.
type roster struct {
	members map[string]table.Member
	// forgotten holds owners that have been unknown for long.
	forgotten map[string]bool
}

func newRoster(all []table.Member) *roster {
	r := &roster{members: map[string]table.Member{}, forgotten: map[string]bool{}}
	for _, x := range all {
		r.members[x.ID] = x
	}
	return r
}

func present(x table.Member) bool { return x.State == table.Alive || x.State == table.Suspect }

// classes returns the classes that the present members can own slots of.
func (r *roster) classes() []string {
	out := []string{Claims}
	for _, x := range r.members {
		if c := Shares(x.Domain); present(x) && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// eligible returns the present members that may own slots of a class.
func (r *roster) eligible(class string) map[string]table.Member {
	domain, bound := strings.CutPrefix(class, sharesPrefix)
	out := map[string]table.Member{}
	for id, x := range r.members {
		if present(x) && (!bound || x.Domain == domain) {
			out[id] = x
		}
	}
	return out
}

// unknownOwners returns the owners that have no record.
func (r *roster) unknownOwners(h settings.Homes) []string {
	var out []string
	for _, slots := range h {
		for _, home := range slots {
			_, known := r.members[home.Node]
			if home.Node != "" && !known && !slices.Contains(out, home.Node) {
				out = append(out, home.Node)
			}
		}
	}
	return out
}

// emptyClasses returns the classes of domains without present members.
func (r *roster) emptyClasses(h settings.Homes) []string {
	var out []string
	for _, domain := range ShareDomains(h) {
		if len(r.eligible(Shares(domain))) == 0 {
			out = append(out, Shares(domain))
		}
	}
	return out
}

// orphaned reports whether a class has a slot without an owner.
func (r *roster) orphaned(slots []settings.Home) bool {
	return len(slots) != Slots || slices.ContainsFunc(slots, r.gone)
}

// gone reports whether an owner is known to have ended. To have no record of it is no
// proof, nor is a record older than its ownership.
func (r *roster) gone(h settings.Home) bool {
	if h.Node == "" {
		return true
	}
	x, known := r.members[h.Node]
	if !known {
		return r.forgotten[h.Node]
	}
	if x.Incarnation != h.Incarnation {
		return x.Incarnation > h.Incarnation
	}
	return !present(x)
}

// choose returns the member with the highest rendezvous hash for key.
func choose(key string, fit map[string]table.Member) string {
	best, id := uint64(0), ""
	for candidate := range fit {
		h := xxhash.Sum64String(key + "\x00" + candidate)
		if id == "" || h > best || h == best && candidate < id {
			best, id = h, candidate
		}
	}
	return id
}
