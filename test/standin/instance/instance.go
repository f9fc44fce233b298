// Package instance is a stand-in for one instance of a backend server on the users'
// platform, as a mesh node sees it: it runs requests, announces itself to the node of
// its VM and records what it ran.
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

// Faults are the failures to simulate. The zero value simulates none.
type Faults struct {
	// Delay is how long each request runs.
	Delay time.Duration
	// Shed refuses every request with 503 and the header Not-Executed.
	Shed bool
	// Status replaces status 200 if it isn't 0.
	Status int
	// DropAnswer runs requests and closes the connection without an answer.
	DropAnswer bool
	// ForeignAnswer sends an answer with the ID of another attempt before each answer.
	ForeignAnswer bool
	// TruncateAnswer closes the connection before the last bytes of an answer.
	TruncateAnswer bool
}

// Run is a request that was run.
type Run struct {
	AttemptID, Account, CallerService, Method, Target, Host, Body string
	// Authorization should always be empty: nodes must not pass a caller's key on.
	Authorization string
	At            time.Time
}

// Instance is the stand-in. It is safe for concurrent use.
type Instance struct {
	ID, Service, Address, Control string
	StartedAt                     time.Time

	faults atomic.Pointer[Faults]
	// rateLimit is the rate limit that the answers name, in requests a second; 0 is none.
	rateLimit atomic.Uint64
	// leaving is set if the answers say that the instance is leaving.
	leaving  atomic.Bool
	sequence atomic.Uint64
	server   *http.Server

	mu      sync.Mutex
	runs    []Run
	subCall *SubCall
}

// SubCall is a call that the instance makes through its node for each request it runs.
type SubCall struct {
	// Outbound is the IP:port of the node's listener for outgoing calls.
	Outbound, Host, Path string
}

// Start starts an instance that serves requests at address and sends its announcements to
// the node's listener at control, both IP:port.
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

// Close stops the instance without telling the node.
func (i *Instance) Close() { _ = i.server.Close() }

// SetFaults replaces the simulated faults.
func (i *Instance) SetFaults(f Faults) { i.faults.Store(&f) }

// SetRateLimit makes the answers name a rate limit in requests a second; 0 ends it.
func (i *Instance) SetRateLimit(ratePerS uint64) { i.rateLimit.Store(ratePerS) }

// SetLeaving makes the answers say that the instance is leaving.
func (i *Instance) SetLeaving() { i.leaving.Store(true) }

// SetSubCall sets the call to make for each request; nil means none.
func (i *Instance) SetSubCall(s *SubCall) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.subCall = s
}

// Runs returns the requests that were run so far, oldest first.
func (i *Instance) Runs() []Run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Run(nil), i.runs...)
}

// Announce sends one announcement with the state and returns the HTTP status of the answer.
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

// Deregister tells the node that the instance is gone and returns the HTTP status of the
// answer.
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

// AnnounceUntilDone announces the instance as ready at the interval until ctx ends. Failed
// announcements are ignored.
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

// execute runs a request for the delay, makes the sub-call if one is set, and reports
// whether both succeeded.
func (i *Instance) execute(r *http.Request, delay time.Duration) bool {
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return false
	}
	i.mu.Lock()
	call := i.subCall
	i.mu.Unlock()
	if call == nil {
		return true
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+call.Outbound+call.Path, nil)
	if err != nil {
		return false
	}
	req.Host = call.Host
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

// writeAnswer writes to the hijacked connection, since net/http can't send truncated or
// additional answers.
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
	notice := ""
	if rate := i.rateLimit.Load(); rate > 0 {
		notice = fmt.Sprintf("Server-Limit: %d\r\n", rate)
	}
	if i.leaving.Load() {
		notice += "Server-Leaving: 1\r\n"
	}
	if f.ForeignAnswer {
		_, _ = buf.WriteString(responseHead(http.StatusOK, "someone-else", "", len("foreign"), "keep-alive") + "foreign")
	}
	text := responseHead(status, attempt, notice, len(body), "close") + body
	if f.TruncateAnswer {
		text = text[:len(text)-3]
	}
	_, _ = buf.WriteString(text)
	_ = buf.Flush()
}

// responseHead returns the head of an answer. notice holds further header lines.
func responseHead(status int, attempt, notice string, length int, connection string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sResponse-Seal: seal\r\nConnection: %s\r\nContent-Length: %s\r\n\r\n",
		status, http.StatusText(status), attempt, notice, connection, strconv.Itoa(length))
}
