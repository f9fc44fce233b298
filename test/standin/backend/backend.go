// Package backend is a stand-in for a backend server: it announces itself to its
// node, runs calls in a number of slots, makes sub-calls, keeps a journal of what
// it ran, and misbehaves as POST /control says.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	api "comfreycart.dev/comfreycart/internal/api/backend"
)

// Behavior is what the stand-in does with a call.
type Behavior struct {
	// DelayMs is the time a call holds its slot, in milliseconds.
	DelayMs int `json:"delayMs"`
	// JitterMs adds a random time up to this, in milliseconds.
	JitterMs int `json:"jitterMs"`
	// Status of the answers; 0 means 200.
	Status int `json:"status"`
	// AnswerBytes pads the answer to so many bytes.
	AnswerBytes int `json:"answerBytes"`
	// Truncate closes the connection in the middle of the answer.
	Truncate bool `json:"truncate"`
	// Hang never answers.
	Hang bool `json:"hang"`
	// State is what the stand-in announces; empty means ready.
	State string `json:"state"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
	// Subs are the sub-calls of each call, made one after the other.
	Subs []SubCall `json:"subs"`
	// Parallel makes the sub-calls at the same time.
	Parallel bool `json:"parallel"`
	// PassFailure answers 502 when a sub-call fails.
	PassFailure bool `json:"passFailure"`
	// PassRefusal passes on the status and outcome of a refused sub-call.
	PassRefusal bool `json:"passRefusal"`
	// Header is added to the answers.
	Header map[string]string `json:"header"`
	// CloseDelimited ends the answer's body only by closing the connection.
	CloseDelimited bool `json:"unmarked"`
	// RepeatAfterMs sends the answer a second time after so many milliseconds; 0 means never.
	RepeatAfterMs int `json:"lateAgainMs"`
	// Echo answers with the handle of the call.
	Echo bool `json:"echo"`
}

// SubCall is one sub-call.
type SubCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Handle replaces the handle of the running call.
	Handle string `json:"handle"`
}

// Entry is one call in the journal.
type Entry struct {
	Method         string      `json:"method"`
	Path           string      `json:"path"`
	Account        string      `json:"account"`
	Call           string      `json:"call"`
	IdempotencyKey string      `json:"idempotencyKey,omitempty"`
	Header         http.Header `json:"header"`
	Trailer        http.Header `json:"trailer,omitempty"`
	// AtMs is the wall clock in milliseconds when the call began.
	AtMs int64 `json:"atMs"`
}

// Answer is the body of an answer.
type Answer struct {
	Service string   `json:"service"`
	Path    string   `json:"path"`
	Echo    string   `json:"echo,omitempty"`
	Subs    []string `json:"subs,omitempty"`
	Pad     string   `json:"pad,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	node    string
	service string
	address string
	slots   int
	client  *http.Client

	sem chan struct{}

	mu       sync.Mutex
	behavior Behavior
	journal  []Entry
	egress   string
}

// New returns a stand-in for a service beside the node at URL node.
func New(node, service, address string, slots int, b Behavior) *Server {
	return &Server{
		node: node, service: service, address: address, slots: slots, behavior: b,
		client: &http.Client{}, sem: make(chan struct{}, slots),
	}
}

// Handler serves calls, /control and /journal.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", s.handleControl)
	mux.HandleFunc("GET /journal", s.handleJournal)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// Announce announces the stand-in until ctx ends.
func (s *Server) Announce(ctx context.Context) {
	for ctx.Err() == nil {
		wait := 100 * time.Millisecond
		if ms, err := s.announce(ctx); err == nil {
			wait = time.Duration(ms) * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (s *Server) announce(ctx context.Context) (int, error) {
	b := s.currentBehavior()
	if b.Silent {
		return 0, fmt.Errorf("silent")
	}
	state := b.State
	if state == "" {
		state = "ready"
	}
	body, _ := json.Marshal(api.Announcement{
		Service: s.service, Address: s.address, Slots: s.slots, Connections: 8 * s.slots, State: state,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.node+"/announce", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var ack api.Acknowledgement
	if err := json.NewDecoder(resp.Body).Decode(&ack); err != nil || resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("announcement refused: %d", resp.StatusCode)
	}
	s.mu.Lock()
	s.egress = ack.Egress
	s.mu.Unlock()
	return ack.HeartbeatMs, nil
}

// Journal returns the calls run so far.
func (s *Server) Journal() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.journal...)
}

// SetBehavior changes what the stand-in does.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

func (s *Server) currentBehavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
	_, _ = s.announce(r.Context())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleJournal(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Journal())
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	select {
	case s.sem <- struct{}{}:
		defer func() { <-s.sem }()
	default:
		w.Header().Set("Comfreycart-Outcome", "not-run")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.recordCall(r)
	b := s.currentBehavior()
	delay := b.DelayMs + rand.IntN(b.JitterMs+1)
	select {
	case <-time.After(time.Duration(delay) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if b.Hang {
		<-r.Context().Done()
		return
	}
	out := Answer{Service: s.service, Path: r.URL.RequestURI(), Echo: string(body), Pad: string(bytes.Repeat([]byte("x"), b.AnswerBytes))}
	if b.Echo {
		w.Header().Set("Comfreycart-Call", r.Header.Get("Comfreycart-Call"))
	}
	s.writeAnswer(w, b, out, s.subCalls(r, b, &out))
}

func (s *Server) recordCall(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = append(s.journal, Entry{
		Method: r.Method, Path: r.URL.RequestURI(), Account: r.Header.Get("Comfreycart-Account"),
		Call: r.Header.Get("Comfreycart-Call"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Header: r.Header.Clone(), Trailer: r.Trailer.Clone(), AtMs: time.Now().UnixMilli(),
	})
}

// subCallResult is what a sub-call came to; status 0 means that its answer was lost.
type subCallResult struct {
	status  int
	outcome string
	body    string
}

func (a subCallResult) failed() bool { return a.status == 0 || a.status >= 500 }

// subCalls makes the sub-calls and returns the first that failed, if any.
func (s *Server) subCalls(r *http.Request, b Behavior, out *Answer) *subCallResult {
	answers := make([]subCallResult, len(b.Subs))
	var wg sync.WaitGroup
	for i, sub := range b.Subs {
		wg.Add(1)
		run := func() {
			defer wg.Done()
			answers[i] = s.subCall(r, sub)
		}
		if b.Parallel {
			go run()
		} else {
			run()
		}
	}
	wg.Wait()
	var failed *subCallResult
	for i, a := range answers {
		out.Subs = append(out.Subs, a.body)
		if failed == nil && a.failed() {
			failed = &answers[i]
		}
	}
	return failed
}

func (s *Server) subCall(r *http.Request, sub SubCall) subCallResult {
	s.mu.Lock()
	egress := s.egress
	s.mu.Unlock()
	req, err := http.NewRequestWithContext(r.Context(), sub.Method, egress+sub.Path, nil)
	if err != nil {
		return subCallResult{body: err.Error()}
	}
	handle := sub.Handle
	if handle == "" {
		handle = r.Header.Get("Comfreycart-Call")
	}
	req.Header.Set("Comfreycart-Call", handle)
	resp, err := s.client.Do(req)
	if err != nil {
		return subCallResult{body: "lost"}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return subCallResult{body: "lost"}
	}
	return subCallResult{status: resp.StatusCode, outcome: resp.Header.Get("Comfreycart-Outcome"), body: string(body)}
}

func (s *Server) writeAnswer(w http.ResponseWriter, b Behavior, out Answer, failed *subCallResult) {
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	if failed != nil && b.PassFailure {
		status = http.StatusBadGateway
	}
	if failed != nil && b.PassRefusal {
		status = failed.status
		w.Header().Set("Comfreycart-Outcome", failed.outcome)
	}
	for name, value := range b.Header {
		w.Header().Set(name, value)
	}
	body, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case b.CloseDelimited:
		writeRaw(w, status, body, 0, false)
	case b.RepeatAfterMs > 0:
		writeRaw(w, status, body, time.Duration(b.RepeatAfterMs)*time.Millisecond, true)
	default:
		writeBody(w, b, status, body)
	}
}

func writeBody(w http.ResponseWriter, b Behavior, status int, body []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	if b.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// writeRaw writes an answer past net/http: without a length, or twice.
func writeRaw(w http.ResponseWriter, status int, body []byte, again time.Duration, marked bool) {
	header := w.Header().Clone()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	if marked {
		header.Set("Content-Length", fmt.Sprint(len(body)))
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&text)
	text.WriteString("\r\n")
	text.Write(body)
	_, _ = c.Write(text.Bytes())
	if again > 0 {
		time.Sleep(again)
		_, _ = c.Write(text.Bytes())
		time.Sleep(time.Second)
	}
}
