package homes

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// memberSnapshot is a snapshot of the member table.
type memberSnapshot struct {
	// members holds the member records by node ID.
	members map[string]table.Member
	// presumedEnded holds the IDs of owners that have had no record for
	// unknownOwnerTimeout.
	presumedEnded map[string]bool
}

func newMemberSnapshot(all []table.Member) *memberSnapshot {
	s := &memberSnapshot{members: map[string]table.Member{}, presumedEnded: map[string]bool{}}
	for _, x := range all {
		s.members[x.ID] = x
	}
	return s
}

// isPresent reports whether a member may own slots.
func isPresent(x table.Member) bool { return x.State == table.Alive || x.State == table.Suspect }

// classes returns the classes whose slots the present members may own.
func (s *memberSnapshot) classes() []string {
	out := []string{ClaimsClass}
	for _, x := range s.members {
		if c := SharesClass(x.Domain); isPresent(x) && !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// eligible returns the present members that may own slots of a class.
func (s *memberSnapshot) eligible(class string) map[string]table.Member {
	domain, isShares := strings.CutPrefix(class, sharesPrefix)
	out := map[string]table.Member{}
	for id, x := range s.members {
		if isPresent(x) && (!isShares || x.Domain == domain) {
			out[id] = x
		}
	}
	return out
}

// unknownOwners returns the IDs of the owners that have no member record.
func (s *memberSnapshot) unknownOwners(h settings.Homes) []string {
	var out []string
	for _, slots := range h {
		for _, home := range slots {
			_, known := s.members[home.Node]
			if home.Node != "" && !known && !slices.Contains(out, home.Node) {
				out = append(out, home.Node)
			}
		}
	}
	return out
}

// emptyClasses returns the classes of domains without present members.
func (s *memberSnapshot) emptyClasses(h settings.Homes) []string {
	var out []string
	for _, domain := range ShareDomains(h) {
		if len(s.eligible(SharesClass(domain))) == 0 {
			out = append(out, SharesClass(domain))
		}
	}
	return out
}

// hasOrphan reports whether a class has a slot that has no owner or whose owner has ended.
func (s *memberSnapshot) hasOrphan(slots []settings.Home) bool {
	return len(slots) != SlotCount || slices.ContainsFunc(slots, s.hasEnded)
}

// hasEnded reports whether an owner has ended, or there is none. An owner
// without a record counts as ended only once it is presumed so. A record of an incarnation
// before the owner's is no proof that it ended.
func (s *memberSnapshot) hasEnded(h settings.Home) bool {
	if h.Node == "" {
		return true
	}
	x, known := s.members[h.Node]
	if !known {
		return s.presumedEnded[h.Node]
	}
	if x.Incarnation != h.Incarnation {
		return x.Incarnation > h.Incarnation
	}
	return !isPresent(x)
}

// rendezvousOwner returns the ID of the eligible member with the highest rendezvous hash
// for key, empty if there is none.
func rendezvousOwner(key string, eligible map[string]table.Member) string {
	best, id := uint64(0), ""
	for candidate := range eligible {
		h := xxhash.Sum64String(key + "\x00" + candidate)
		if id == "" || h > best || h == best && candidate < id {
			best, id = h, candidate
		}
	}
	return id
}
