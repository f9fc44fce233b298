package gossip

import "math/rand/v2"

// roundRobin iterates over members in a shuffled round-robin: it returns each member once
// before it returns any of them again, unless members are added or removed meanwhile.
type roundRobin struct {
	rng *rand.Rand
	ids []string
	// positions is the index of each member in ids.
	positions map[string]int
	// cursor is the index in ids of the next member to return.
	cursor int
}

func newRoundRobin(rng *rand.Rand) *roundRobin {
	return &roundRobin{rng: rng, positions: map[string]int{}}
}

func (r *roundRobin) len() int { return len(r.ids) }

func (r *roundRobin) has(id string) bool {
	_, ok := r.positions[id]
	return ok
}

// add inserts a member at a random position.
func (r *roundRobin) add(id string) {
	if r.has(id) {
		return
	}
	r.positions[id] = len(r.ids)
	r.ids = append(r.ids, id)
	r.swap(len(r.ids)-1, r.rng.IntN(len(r.ids)))
}

func (r *roundRobin) remove(id string) {
	i, ok := r.positions[id]
	if !ok {
		return
	}
	last := len(r.ids) - 1
	r.swap(i, last)
	r.ids = r.ids[:last]
	delete(r.positions, id)
}

// next returns the next member, "" if there is none. Each call does one step of the
// shuffle, so that no call costs more than another.
func (r *roundRobin) next() string {
	if len(r.ids) == 0 {
		return ""
	}
	if r.cursor >= len(r.ids) {
		r.cursor = 0
	}
	r.swap(r.cursor, r.cursor+r.rng.IntN(len(r.ids)-r.cursor))
	id := r.ids[r.cursor]
	r.cursor++
	return id
}

// sample returns up to n distinct random members other than exclude. It may return fewer
// than there are, since it makes at most 4*n draws.
func (r *roundRobin) sample(n int, exclude string) []string {
	var out []string
	for tries := 0; len(out) < n && tries < 4*n && len(r.ids) > 0; tries++ {
		id := r.ids[r.rng.IntN(len(r.ids))]
		if id != exclude && !contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

func (r *roundRobin) swap(i, j int) {
	r.ids[i], r.ids[j] = r.ids[j], r.ids[i]
	r.positions[r.ids[i]], r.positions[r.ids[j]] = i, j
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
