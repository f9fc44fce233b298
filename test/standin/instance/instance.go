// Package instance is a stand-in for one instance of a backend server on the users'
// platform, as far as nodes meet it: it runs requests, announces itself to the node of
// its VM, and notes what it ran.
package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are the failures in force.
type Faults struct {
	// Delay is how long a request runs.
	Delay time.Duration
	// Shed refuses every request, with the word that it did not run.
	Shed bool
	// Status replaces 200 where it is not 0.
	Status int
	// DropAnswer runs requests and closes the connection without an answer.
	DropAnswer bool
	// ForeignAnswer sends an answer to another request before each answer.
	ForeignAnswer bool
	// TruncateAnswer ends the connection in the middle of an answer.
	TruncateAnswer bool
}

// Run is one request that was run.
type Run struct {
	AttemptID, Account, CallerService, Method, Target, Host, Body string
	// Authorization is what should never be there.
	Authorization string
	At  time.Time
}

// Instance is the stand-in. It is safe for concurrent use.
type Instance struct {
	ID, Service, Address, Control string
	StartedAt                          time.Time

	faults   atomic.Pointer[Faults]
	sequence atomic.Uint64
	server   *http.Server

	mu   sync.Mutex
	runs []Run
	subCall  *SubCall
}

// SubCall is a call that the instance makes for each request that it runs.
type SubCall struct {
	// Outbound is the listener of the VM's node.
	Outbound, Host, Path string
}

// Start starts an instance that announces itself at control.
func Start(id, service, address, control string) (*Instance, error) {
	i := &Instance{ID: id, Service: service, Address: address, Control: control, StartedAt: time.Now()}
	i.faults.Store(&Faults{})
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve)}
	go func() { _ = i.server.Serve(lis) }()
	return i, nil
}

// Close ends the instance without a word.
func (i *Instance) Close() { _ = i.server.Close() }

// SetFaults puts faults in force.
func (i *Instance) SetFaults(f Faults) { i.faults.Store(&f) }

// SetSubCall makes every request call on.
func (i *Instance) SetSubCall(s *SubCall) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.subCall = s
}

// Runs returns what was run so far.
func (i *Instance) Runs() []Run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Run(nil), i.runs...)
}

// Announce says once that the instance is in a state, and returns the answer's status.
func (i *Instance) Announce(state string) (int, error) {
	body, err := json.Marshal(map[string]any{
		"address": i.Address,
		"info":    map[string]any{"service": i.Service, "version": "v1", "zone": "z", "slots": 8},
		"status":  map[string]any{"state": state, "sequence": i.sequence.Add(1), "coldRemainingMs": 0},
		"born":    i.StartedAt.UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	return i.sendControl(http.MethodPut, body)
}

// Deregister says that the instance is gone.
func (i *Instance) Deregister() (int, error) { return i.sendControl(http.MethodDelete, nil) }

func (i *Instance) sendControl(method string, body []byte) (int, error) {
	req, err := http.NewRequest(method, "http://"+i.Control+"/comfreycart/instances/"+i.ID, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// AnnounceUntilDone announces the instance as ready until ctx ends.
func (i *Instance) AnnounceUntilDone(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		_, _ = i.Announce("ready")
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	f := *i.faults.Load()
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != i.ID {
		w.Header().Set("Instance-Id", i.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.Shed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i.recordRun(r, string(body))
	if !i.execute(r, f.Delay) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	i.writeAnswer(w, attempt, f)
}

func (i *Instance) recordRun(r *http.Request, body string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs = append(i.runs, Run{
		AttemptID: r.Header.Get("Attempt-Id"), Account: r.Header.Get("Tenant"), CallerService: r.Header.Get("Caller-Service"),
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: body, Authorization: r.Header.Get("Authorization"), At: time.Now(),
	})
}

// execute runs a request and reports whether its call, if it makes one, came to a success.
func (i *Instance) execute(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return false
	}
	i.mu.Lock()
	s := i.subCall
	i.mu.Unlock()
	if s == nil {
		return true
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+s.Outbound+s.Path, nil)
	if err != nil {
		return false
	}
	req.Host = s.Host
	req.Header.Set("Attempt-Id", r.Header.Get("Attempt-Id")+".1")
	req.Header.Set("Deadline-Ms", r.Header.Get("Deadline-Ms"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// writeAnswer writes by hand, so that it can break off or say too much.
func (i *Instance) writeAnswer(w http.ResponseWriter, attempt string, f Faults) {
	status := f.Status
	if status == 0 {
		status = http.StatusOK
	}
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if f.DropAnswer {
		return
	}
	body := "answer to " + attempt + " of " + i.ID
	if f.ForeignAnswer {
		_, _ = buf.WriteString(responseHead(http.StatusOK, "someone-else", len("foreign"), "keep-alive") + "foreign")
	}
	text := responseHead(status, attempt, len(body), "close") + body
	if f.TruncateAnswer {
		text = text[:len(text)-3]
	}
	_, _ = buf.WriteString(text)
	_ = buf.Flush()
}

func responseHead(status int, attempt string, length int, connection string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\nConnection: %s\r\nContent-Length: %s\r\n\r\n",
		status, http.StatusText(status), attempt, connection, strconv.Itoa(length))
}
