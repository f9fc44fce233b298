package table

import "sync"

// requestIDIndex maps the callers' request IDs to the running calls. It is safe for
// concurrent use.
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

// remove removes a call, unless a later call with the same request ID has replaced it.
func (t *requestIDIndex) remove(r *RunningCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[r.Call.RequestID] == r {
		delete(t.rows, r.Call.RequestID)
	}
}

// FindByRequestID returns the call with the given request ID that runs on this VM, or nil.
func (c *Calls) FindByRequestID(id string) *RunningCall {
	if id == "" {
		return nil
	}
	c.byRequestID.mu.Lock()
	defer c.byRequestID.mu.Unlock()
	return c.byRequestID.rows[id]
}
