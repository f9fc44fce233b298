// Package platform is a stand-in for the platform's table service and object
// store, as far as a node asks it, with faults that tests switch on by POST /control.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
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

const (
	// maxRows is the most rows in one answer, maxWaitMs the longest wait of a feed.
	maxRows   = 500
	maxFeedWaitMs = 30_000
	// feedPoll is how often a waiting feed looks for changes.
	feedPoll = 5 * time.Millisecond
)

// RowName names a row.
type RowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// Row is one row; Removed is set where it was deleted.
type Row struct {
	RowName
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	startedAt   time.Time
	rows    map[RowName]Row
	history []Row
	objects map[string][]byte
	faults  Faults
	version uint64
	// forgottenVersion is the newest version whose history is no longer kept.
	forgottenVersion uint64
	calls     int
	reads     int
	writes    int
}

// New returns an empty platform.
func New() *Server {
	return &Server{startedAt: time.Now(), rows: map[RowName]Row{}, objects: map[string][]byte{}}
}

// Handler serves the table service, the object store and /control.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.HandleFunc("GET /comfreycart/rows-get", s.withFaults(s.getRows))
	mux.HandleFunc("GET /comfreycart/rows-feed", s.feed)
	mux.HandleFunc("POST /comfreycart/rows-tx", s.withFaults(s.transact))
	mux.HandleFunc("PUT /comfreycart/blob-put/{name}", s.withFaults(s.putObject))
	mux.HandleFunc("GET /comfreycart/blob-get/{name}", s.withFaults(s.getObject))
	return mux
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]int{"reads": s.reads, "writes": s.writes})
}

// handler is a table or object call; it runs with the lock held and returns a status.
type handler func(r *http.Request, body []byte) (int, any)

func (s *Server) withFaults(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		faults, refused := s.beginCall()
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
		writeAnswer(w, status, out)
	}
}

func (s *Server) beginCall() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	refused := s.faults.Down || s.faults.FailEvery > 0 && s.calls%s.faults.FailEvery == 0
	return s.faults, refused
}

func writeAnswer(w http.ResponseWriter, status int, out any) {
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

// rowsAnswer is an answer with rows.
type rowsAnswer struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

func (s *Server) answerRows(list []Row) rowsAnswer {
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return rowsAnswer{Rows: list, Ver: s.version, NowMs: time.Since(s.startedAt).Milliseconds()}
}

func (s *Server) getRows(r *http.Request, _ []byte) (int, any) {
	s.reads++
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		limit = maxRows
	}
	list := []Row{}
	for name, row := range s.rows {
		if name.Table != q.Get("table") || name.Part != q.Get("part") || row.Removed {
			continue
		}
		if name.Key >= from && (to == "" || name.Key < to) {
			list = append(list, row)
		}
	}
	out := s.answerRows(list)
	if len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	return http.StatusOK, out
}

// feed answers once a row of the table has changed, or after the asked time.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil || waitMs > maxFeedWaitMs {
		http.Error(w, "bad question", http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		faults, refused := s.beginCall()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if refused {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		out, gone := s.changesSince(q.Get("table"), after), after < s.forgottenVersion
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Rows) > 0 || !time.Now().Before(end) {
			writeJSON(w, out)
			return
		}
		time.Sleep(feedPoll)
	}
}

func (s *Server) changesSince(table string, after uint64) rowsAnswer {
	list := []Row{}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			list = append(list, row)
		}
	}
	return rowsAnswer{Rows: list, Ver: s.version, NowMs: time.Since(s.startedAt).Milliseconds()}
}

// setRow changes a row; every change stays in the history.
func (s *Server) setRow(row Row) {
	s.rows[row.RowName] = row
	s.history = append(s.history, row)
}

// transaction is a transaction; all its entries are in one part.
type transaction struct {
	Expect []Row  `json:"expect"`
	Writes []Row  `json:"writes"`
	Remove []RowName `json:"remove"`
}

func (s *Server) transact(_ *http.Request, body []byte) (int, any) {
	s.writes++
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range t.Expect {
		if s.currentRow(e.RowName).Ver != e.Ver {
			return http.StatusPreconditionFailed, nil
		}
	}
	s.version++
	for _, x := range t.Writes {
		s.setRow(Row{RowName: x.RowName, Value: x.Value, Ver: s.version})
	}
	for _, name := range t.Remove {
		s.setRow(Row{RowName: name, Ver: s.version, Removed: true})
	}
	return http.StatusOK, map[string]uint64{"ver": s.version}
}

// currentRow returns the row of a name; one that does not exist has version 0.
func (s *Server) currentRow(n RowName) Row {
	row := s.rows[n]
	if row.Removed {
		return Row{}
	}
	return row
}

// Put writes a row as the operator does, without a condition.
func (s *Server) Put(n RowName, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(Row{RowName: n, Value: value, Ver: s.version})
}

// DropHistory drops the history of all changes so far.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgottenVersion = s.version
}

// SetFaults puts faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
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
