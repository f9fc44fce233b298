package table

import "sync"

// tags maps the callers' names of running calls to the calls. It is safe for concurrent
// use.
type tags struct {
	mu   sync.Mutex
	rows map[string]*Running
}

func (t *tags) add(r *Running) {
	if r.Call.Tag == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string]*Running{}
	}
	t.rows[r.Call.Tag] = r
}

// drop forgets a call, unless a later one has its name.
func (t *tags) drop(r *Running) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[r.Call.Tag] == r {
		delete(t.rows, r.Call.Tag)
	}
}

// Tagged returns the call of that name that runs on this VM, or nil.
func (c *Calls) Tagged(tag string) *Running {
	if tag == "" {
		return nil
	}
	c.tags.mu.Lock()
	defer c.tags.mu.Unlock()
	return c.tags.rows[tag]
}
