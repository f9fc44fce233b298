package homes

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// memberSnapshot is the members as one look at their table found them.
type memberSnapshot struct {
	members map[string]table.Member
	// presumedEnded holds owners that have been unknown for long.
	presumedEnded map[string]bool
}

func newMemberSnapshot(all []table.Member) *memberSnapshot {
	r := &memberSnapshot{members: map[string]table.Member{}, presumedEnded: map[string]bool{}}
	for _, x := range all {
		r.members[x.ID] = x
	}
	return r
}

func isPresent(x table.Member) bool { return x.State == table.Alive || x.State == table.Suspect }

// classes returns the classes that the present members can own slots of.
func (r *memberSnapshot) classes() []string {
	out := []string{ClaimsClass}
	for _, x := range r.members {
		if c := SharesClass(x.Domain); isPresent(x) && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// eligible returns the present members that may own slots of a class.
func (r *memberSnapshot) eligible(class string) map[string]table.Member {
	domain, bound := strings.CutPrefix(class, sharesPrefix)
	out := map[string]table.Member{}
	for id, x := range r.members {
		if isPresent(x) && (!bound || x.Domain == domain) {
			out[id] = x
		}
	}
	return out
}

// unknownOwners returns the owners that have no record.
func (r *memberSnapshot) unknownOwners(h settings.Homes) []string {
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
func (r *memberSnapshot) emptyClasses(h settings.Homes) []string {
	var out []string
	for _, domain := range ShareDomains(h) {
		if len(r.eligible(SharesClass(domain))) == 0 {
			out = append(out, SharesClass(domain))
		}
	}
	return out
}

// hasOrphan reports whether a class has a slot without an owner.
func (r *memberSnapshot) hasOrphan(slots []settings.Home) bool {
	return len(slots) != SlotCount || slices.ContainsFunc(slots, r.hasEnded)
}

// hasEnded reports whether an owner is known to have ended. To have no record of it is no
// proof, nor is a record older than its ownership.
func (r *memberSnapshot) hasEnded(h settings.Home) bool {
	if h.Node == "" {
		return true
	}
	x, known := r.members[h.Node]
	if !known {
		return r.presumedEnded[h.Node]
	}
	if x.Incarnation != h.Incarnation {
		return x.Incarnation > h.Incarnation
	}
	return !isPresent(x)
}

// rendezvousOwner returns the member with the highest rendezvous hash for key.
func rendezvousOwner(key string, fit map[string]table.Member) string {
	best, id := uint64(0), ""
	for candidate := range fit {
		h := xxhash.Sum64String(key + "\x00" + candidate)
		if id == "" || h > best || h == best && candidate < id {
			best, id = h, candidate
		}
	}
	return id
}
