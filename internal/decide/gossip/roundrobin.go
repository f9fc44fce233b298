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

func (o *roundRobin) len() int { return len(o.ids) }

func (o *roundRobin) has(id string) bool {
	_, ok := o.positions[id]
	return ok
}

// add inserts a member at a random position.
func (o *roundRobin) add(id string) {
	if o.has(id) {
		return
	}
	o.positions[id] = len(o.ids)
	o.ids = append(o.ids, id)
	o.swap(len(o.ids)-1, o.rng.IntN(len(o.ids)))
}

func (o *roundRobin) remove(id string) {
	i, ok := o.positions[id]
	if !ok {
		return
	}
	last := len(o.ids) - 1
	o.swap(i, last)
	o.ids = o.ids[:last]
	delete(o.positions, id)
}

// next returns the next member, "" if there is none. Each call does one step of the
// shuffle, so that no call costs more than another.
func (o *roundRobin) next() string {
	if len(o.ids) == 0 {
		return ""
	}
	if o.cursor >= len(o.ids) {
		o.cursor = 0
	}
	o.swap(o.cursor, o.cursor+o.rng.IntN(len(o.ids)-o.cursor))
	id := o.ids[o.cursor]
	o.cursor++
	return id
}

// sample returns up to n distinct random members other than exclude. It may return fewer
// than there are, since it makes at most 4*n draws.
func (o *roundRobin) sample(n int, exclude string) []string {
	var out []string
	for tries := 0; len(out) < n && tries < 4*n && len(o.ids) > 0; tries++ {
		id := o.ids[o.rng.IntN(len(o.ids))]
		if id != exclude && !contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

func (o *roundRobin) swap(i, j int) {
	o.ids[i], o.ids[j] = o.ids[j], o.ids[i]
	o.positions[o.ids[i]], o.positions[o.ids[j]] = i, j
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
