package gossip

import "math/rand/v2"

// roundRobin gives members in a shuffled round: each once before any twice.
type roundRobin struct {
	rng  *rand.Rand
	ids  []string
	positions   map[string]int
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

// add inserts a member at a random place of the round.
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

// next returns the next member of the round, "" if there is none. Shuffling goes
// along with the round, so that no call costs more than another.
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

// sample returns up to n different members, without the one excluded.
func (o *roundRobin) sample(n int, without string) []string {
	var out []string
	for tries := 0; len(out) < n && tries < 4*n && len(o.ids) > 0; tries++ {
		id := o.ids[o.rng.IntN(len(o.ids))]
		if id != without && !contains(out, id) {
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
