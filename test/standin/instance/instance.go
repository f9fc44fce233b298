// Package instance is a stand-in for one instance of a backend server on the users'
// platform, as a mesh node sees it: it runs requests, announces itself to the node of
// its VM and records what it ran.
package instance

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// TruncateAnswer closes the connection before the last bytes of an answer, TruncateHead within
	// the line that ends its head.
	TruncateAnswer, TruncateHead bool
	// ResetUpload answers a request with a body before the body is read, without a length, and resets
	// the connection after a part of the answer.
	ResetUpload bool
	// ShedEvery refuses every n-th request if it isn't 0.
	ShedEvery uint64
	// EditAnswer changes the text of each answer to a request that ran, if it isn't nil.
	EditAnswer func(answer string) string
	// AnswerBytes is how many bytes the body of an answer has at least.
	AnswerBytes int
	// RepeatAfter sends each answer once more on its connection after this time, if it isn't 0.
	RepeatAfter time.Duration
}

// maxRecordedBytes bounds how much of a request's body is recorded, since a test may send many long
// ones.
const maxRecordedBytes = 4 << 10

// Run is a request that was run. Body is at most the first maxRecordedBytes of its body, BodyHash the
// xxHash of the whole.
type Run struct {
	AttemptID, Account, CallerService, Method, Target, Host, Body string

	BodyHash uint64
	// BodyUnread is set if the request was answered before its body was read.
	BodyUnread bool
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
	// leaving is set if the answers say that the instance is leaving, draining if its health check
	// does.
	leaving, draining atomic.Bool
	sequence          atomic.Uint64
	// requests is the number of requests but health checks that have arrived.
	requests atomic.Uint64
	listener net.Listener

	mu          sync.Mutex
	runs        []Run
	subCall     *SubCall
	connections map[net.Conn]bool
	closed      bool
}

// HealthPath is the path of the health check.
const HealthPath = "/health"

// A request's query may ask for work of its own: how long it runs, as a Go duration, how many bytes its
// answer has at least, and that a sub-call is made if one is set.
const (
	QueryWork    = "work"
	QueryBytes   = "bytes"
	QuerySubCall = "call"
)

// slots is the number of slots that the instance announces.
const slots = 8

// SubCall is a call that the instance makes through its node for each request it runs.
type SubCall struct {
	// Outbound is the IP:port of the node's listener for outgoing calls.
	Outbound, Host, Path string
	// OnRequest makes the call only for requests whose query asks for it.
	OnRequest bool
}

// Start starts an instance that serves requests at address and sends its announcements to
// the node's listener at control, both IP:port.
func Start(id, service, address, control string) (*Instance, error) {
	i := &Instance{
		ID: id, Service: service, Address: address, Control: control, StartedAt: time.Now(), connections: map[net.Conn]bool{},
	}
	i.faults.Store(&Faults{})
	var err error
	if i.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go i.accept()
	return i, nil
}

// Close stops the instance without telling the node.
func (i *Instance) Close() {
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	for c := range i.connections {
		_ = c.Close()
	}
}

// accept serves each connection by a goroutine of its own, since net/http can't send truncated or
// additional answers and keep the connection.
func (i *Instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		if i.closed {
			_ = c.Close()
		}
		i.connections[c] = true
		i.mu.Unlock()
		go func() {
			i.serveConn(c)
			_ = c.Close()
			i.mu.Lock()
			defer i.mu.Unlock()
			delete(i.connections, c)
		}()
	}
}

// SetFaults replaces the simulated faults.
func (i *Instance) SetFaults(f Faults) { i.faults.Store(&f) }

// SetRateLimit makes the answers name a rate limit in requests a second; 0 ends it.
func (i *Instance) SetRateLimit(ratePerS uint64) { i.rateLimit.Store(ratePerS) }

// SetLeaving makes the answers say that the instance is leaving.
func (i *Instance) SetLeaving() { i.leaving.Store(true) }

// IsDraining reports whether the instance has announced that it is draining, or has deregistered.
func (i *Instance) IsDraining() bool { return i.draining.Load() }

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
	return i.SendAnnouncement(i.Announcement(state))
}

// Announcement returns the body of the next announcement.
func (i *Instance) Announcement(state string) []byte {
	if state != "ready" {
		i.draining.Store(true)
	}
	body, err := json.Marshal(map[string]any{
		"address": i.Address,
		"info":    map[string]any{"service": i.Service, "version": "v1", "zone": "z", "slots": slots},
		"status":  map[string]any{"state": state, "sequence": i.sequence.Add(1), "coldRemainingMs": 0},
		"born":    i.StartedAt.UnixMilli(),
	})
	if err != nil {
		panic("encoding an announcement: " + err.Error())
	}
	return body
}

// SendAnnouncement sends the body of an announcement, which may be an earlier one, and returns the HTTP
// status of the answer.
func (i *Instance) SendAnnouncement(body []byte) (int, error) {
	return i.sendControl(http.MethodPut, body)
}

// Deregister tells the node that the instance is gone and returns the HTTP status of the
// answer.
func (i *Instance) Deregister() (int, error) {
	i.draining.Store(true)
	return i.sendControl(http.MethodDelete, nil)
}

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

// serveConn serves the requests of a connection one after the other. A request ends early if its
// connection closes.
func (i *Instance) serveConn(c net.Conn) {
	in, out := bufio.NewReader(c), &lockedWriter{conn: c}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if i.faults.Load().ResetUpload && r.ContentLength != 0 {
			i.resetUpload(r, c)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan struct{})
		go func() {
			defer close(next)
			if _, err := in.Peek(1); err != nil {
				cancel()
			}
		}()
		keep := i.serve(ctx, r, string(body), out)
		if keep {
			<-next
		}
		cancel()
		if !keep {
			return
		}
	}
}

// resetUpload answers a request as Faults.ResetUpload says.
func (i *Instance) resetUpload(r *http.Request, c net.Conn) {
	i.recordRun(r, "", true)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Seal: seal\r\n\r\nthe first part")
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// lockedWriter writes whole answers to a connection.
type lockedWriter struct {
	conn net.Conn
	mu   sync.Mutex
}

func (w *lockedWriter) write(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = io.WriteString(w.conn, text)
}

// serve answers one request and reports whether the connection is kept.
func (i *Instance) serve(ctx context.Context, r *http.Request, body string, out *lockedWriter) (keep bool) {
	if r.Method == http.MethodGet && r.URL.Path == HealthPath {
		out.write(i.healthAnswer())
		return true
	}
	f := *i.faults.Load()
	attempt := r.Header.Get("Attempt-Id")
	n := i.requests.Add(1)
	answer := ""
	switch want := r.Header.Get("Expected-Instance"); {
	case want != "" && want != i.ID:
		answer = responseHead(http.StatusMisdirectedRequest, attempt, "Instance-Id: "+i.ID+"\r\n", 0)
	case f.Shed, f.ShedEvery > 0 && n%f.ShedEvery == 0:
		answer = responseHead(http.StatusServiceUnavailable, attempt, "Not-Executed: 1\r\n", 0)
	default:
		i.recordRun(r, body, false)
		query := r.URL.Query()
		if work, err := time.ParseDuration(query.Get(QueryWork)); err == nil {
			f.Delay = work
		}
		if n, err := strconv.Atoi(query.Get(QueryBytes)); err == nil {
			f.AnswerBytes = n
		}
		if !i.execute(ctx, r, f.Delay) {
			answer = responseHead(http.StatusInternalServerError, attempt, "", 0)
			break
		}
		if f.DropAnswer {
			return false
		}
		answer = i.answer(attempt, f)
		if f.EditAnswer != nil {
			answer = f.EditAnswer(answer)
		}
		switch {
		case f.TruncateHead:
			head, _, _ := strings.Cut(answer, "\r\n\r\n")
			out.write(head + "\r\n\r")
			return false
		case f.TruncateAnswer:
			out.write(answer[:len(answer)-3])
			return false
		}
	}
	out.write(answer)
	if f.RepeatAfter > 0 {
		time.AfterFunc(f.RepeatAfter, func() { out.write(answer) })
	}
	return true
}

// healthAnswer returns the answer to a health check.
func (i *Instance) healthAnswer() string {
	status := http.StatusOK
	if i.draining.Load() || i.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), i.ID, slots)
}

func (i *Instance) recordRun(r *http.Request, body string, bodyUnread bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs = append(i.runs, Run{
		AttemptID: r.Header.Get("Attempt-Id"), Account: r.Header.Get("Tenant"), CallerService: r.Header.Get("Caller-Service"),
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Authorization: r.Header.Get("Authorization"), At: time.Now(),
		Body: strings.Clone(body[:min(len(body), maxRecordedBytes)]), BodyHash: xxhash.Sum64String(body), BodyUnread: bodyUnread,
	})
}

// execute runs a request for the delay, makes the sub-call if one is set, and reports
// whether both succeeded.
func (i *Instance) execute(ctx context.Context, r *http.Request, delay time.Duration) bool {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return false
	}
	i.mu.Lock()
	call := i.subCall
	i.mu.Unlock()
	if call == nil || call.OnRequest && r.URL.Query().Get(QuerySubCall) == "" {
		return true
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+call.Outbound+call.Path, nil)
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

// answer returns the answer to a request that ran.
func (i *Instance) answer(attempt string, f Faults) string {
	status := f.Status
	if status == 0 {
		status = http.StatusOK
	}
	body := "answer to " + attempt + " of " + i.ID
	if missing := f.AnswerBytes - len(body); missing > 0 {
		body += strings.Repeat(".", missing)
	}
	lines := "Response-Seal: seal\r\n"
	if rate := i.rateLimit.Load(); rate > 0 {
		lines += fmt.Sprintf("Server-Limit: %d\r\n", rate)
	}
	if i.leaving.Load() {
		lines += "Server-Leaving: 1\r\n"
	}
	text := responseHead(status, attempt, lines, len(body)) + body
	if f.ForeignAnswer {
		text = responseHead(http.StatusOK, "someone-else", "Response-Seal: seal\r\n", len("foreign")) + "foreign" + text
	}
	return text
}

// responseHead returns the head of an answer. lines holds further header lines.
func responseHead(status int, attempt, lines string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), attempt, lines, length)
}
