package table

import "sync"

// requestIDIndex maps the callers' request IDs to the running calls. It is safe for
// concurrent use.
type requestIDIndex struct {
	mu   sync.Mutex
	rows map[string]*RunningCall
}

func (x *requestIDIndex) add(r *RunningCall) {
	if r.Call.RequestID == "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rows == nil {
		x.rows = map[string]*RunningCall{}
	}
	x.rows[r.Call.RequestID] = r
}

// remove removes a call, unless a later call with the same request ID has replaced it.
func (x *requestIDIndex) remove(r *RunningCall) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rows[r.Call.RequestID] == r {
		delete(x.rows, r.Call.RequestID)
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
