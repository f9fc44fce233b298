// Package platform is a stand-in for the platform's table service and object
// store, with faults that tests switch on by POST /control.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	api "comfreycart.dev/comfreycart/internal/platform"
)

// Faults are the failures in force, as posted to /control.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMs holds every call back, in milliseconds.
	DelayMs int `json:"delayMs"`
	// FailEvery refuses every n-th call; 0 refuses none.
	FailEvery int `json:"failEvery"`
	// LoseWriteAnswers applies writes and answers 500.
	LoseWriteAnswers bool `json:"loseWriteAnswers"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	rows    map[string]api.Row
	objects map[string][]byte
	faults  Faults
	version uint64
	calls   int
	reads   int
	writes  int
}

// New returns an empty platform.
func New() *Server {
	return &Server{rows: map[string]api.Row{}, objects: map[string][]byte{}}
}

// Handler serves the table service, the object store and /control.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /counts", s.counts)
	mux.HandleFunc("GET /table/rows/{key}", s.faulty(s.get))
	mux.HandleFunc("GET /table/scan", s.faulty(s.scan))
	mux.HandleFunc("POST /table/transact", s.faulty(s.transact))
	mux.HandleFunc("PUT /objects/{name}", s.faulty(s.putObject))
	mux.HandleFunc("GET /objects/{name}", s.faulty(s.getObject))
	return mux
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]int{"reads": s.reads, "writes": s.writes})
}

// handler is a table or object call; it runs with the lock held and returns a status.
type handler func(r *http.Request, body []byte) (int, any)

func (s *Server) faulty(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		faults, refused := s.begin()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if refused {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		status, out := h(r, body)
		s.mu.Unlock()
		if faults.LoseWriteAnswers && r.Method != http.MethodGet {
			http.Error(w, "answer lost", http.StatusInternalServerError)
			return
		}
		answer(w, status, out)
	}
}

func (s *Server) begin() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	refused := s.faults.Down || s.faults.FailEvery > 0 && s.calls%s.faults.FailEvery == 0
	return s.faults, refused
}

func answer(w http.ResponseWriter, status int, out any) {
	if raw, ok := out.([]byte); ok {
		_, _ = w.Write(raw)
		return
	}
	if out != nil {
		writeJSON(w, out)
		return
	}
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) get(r *http.Request, _ []byte) (int, any) {
	s.reads++
	row, ok := s.rows[r.PathValue("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, row
}

func (s *Server) scan(r *http.Request, _ []byte) (int, any) {
	s.reads++
	rows := []api.Row{}
	for k, row := range s.rows {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return http.StatusOK, rows
}

func (s *Server) transact(_ *http.Request, body []byte) (int, any) {
	s.writes++
	var tx api.Tx
	if json.Unmarshal(body, &tx) != nil {
		return http.StatusBadRequest, nil
	}
	for _, c := range tx.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return http.StatusConflict, nil
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.version++
		s.rows[w.Key] = api.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return http.StatusNoContent, nil
}

func (s *Server) putObject(r *http.Request, body []byte) (int, any) {
	s.writes++
	s.objects[r.PathValue("name")] = body
	return http.StatusNoContent, nil
}

func (s *Server) getObject(r *http.Request, _ []byte) (int, any) {
	s.reads++
	data, ok := s.objects[r.PathValue("name")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, data
}
