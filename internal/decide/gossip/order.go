package gossip

import "math/rand/v2"

// order gives members in a shuffled round: each once before any twice.
type order struct {
	rng  *rand.Rand
	ids  []string
	at   map[string]int
	next int
}

func newOrder(rng *rand.Rand) *order {
	return &order{rng: rng, at: map[string]int{}}
}

func (o *order) len() int { return len(o.ids) }

func (o *order) has(id string) bool {
	_, ok := o.at[id]
	return ok
}

// add inserts a member at a random place of the round.
func (o *order) add(id string) {
	if o.has(id) {
		return
	}
	o.at[id] = len(o.ids)
	o.ids = append(o.ids, id)
	o.swap(len(o.ids)-1, o.rng.IntN(len(o.ids)))
}

func (o *order) remove(id string) {
	i, ok := o.at[id]
	if !ok {
		return
	}
	last := len(o.ids) - 1
	o.swap(i, last)
	o.ids = o.ids[:last]
	delete(o.at, id)
}

// take returns the next member of the round, "" if there is none. Shuffling goes
// along with the round, so that no call costs more than another.
func (o *order) take() string {
	if len(o.ids) == 0 {
		return ""
	}
	if o.next >= len(o.ids) {
		o.next = 0
	}
	o.swap(o.next, o.next+o.rng.IntN(len(o.ids)-o.next))
	id := o.ids[o.next]
	o.next++
	return id
}

// sample returns up to n different members, without the one excluded.
func (o *order) sample(n int, without string) []string {
	var out []string
	for tries := 0; len(out) < n && tries < 4*n && len(o.ids) > 0; tries++ {
		id := o.ids[o.rng.IntN(len(o.ids))]
		if id != without && !contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

func (o *order) swap(i, j int) {
	o.ids[i], o.ids[j] = o.ids[j], o.ids[i]
	o.at[o.ids[i]], o.at[o.ids[j]] = i, j
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
