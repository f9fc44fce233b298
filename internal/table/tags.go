package table

import "sync"

// requestIDIndex maps the callers' names of running calls to the calls. It is safe for concurrent
// use.
type requestIDIndex struct {
	mu   sync.Mutex
	rows map[string]*RunningCall
}

func (t *requestIDIndex) add(r *RunningCall) {
	if r.Call.RequestID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string]*RunningCall{}
	}
	t.rows[r.Call.RequestID] = r
}

// remove forgets a call, unless a later one has its name.
func (t *requestIDIndex) remove(r *RunningCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[r.Call.RequestID] == r {
		delete(t.rows, r.Call.RequestID)
	}
}

// FindByRequestID returns the call of that name that runs on this VM, or nil.
func (c *Calls) FindByRequestID(tag string) *RunningCall {
	if tag == "" {
		return nil
	}
	c.byRequestID.mu.Lock()
	defer c.byRequestID.mu.Unlock()
	return c.byRequestID.rows[tag]
}
