// Package platform is a stand-in for the platform's table service and object store. It
// serves the calls that nodes make, and simulates the faults that POST /control sets.
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

// Faults are the failures to simulate, as posted to /control.
type Faults struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delayMs"`
	// FailEvery refuses every n-th call with 503; 0 refuses none.
	FailEvery int `json:"failEvery"`
	// LoseWriteAnswers applies writes but answers them with 500, so that the caller can't
	// know their result.
	LoseWriteAnswers bool `json:"loseWriteAnswers"`
}

const (
	// maxRows is the default limit for the rows in one answer of rows-get.
	maxRows = 500
	// maxFeedWaitMs is the longest wait that a feed may ask for, in milliseconds.
	maxFeedWaitMs = 30_000
	// feedPoll is the interval at which a waiting feed checks for changes.
	feedPoll = 5 * time.Millisecond
)

// RowName is the primary key of a row.
type RowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// Row is one row or, with Removed set, the deletion of one. Ver is the version of the
// platform's data at which it was written.
type Row struct {
	RowName
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`

	writtenAt time.Time
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	startedAt time.Time
	rows      map[RowName]Row
	history   []Row
	objects   map[string][]byte
	faults    Faults
	version   uint64
	// era counts the restores; it is stated in each answer.
	era uint64
	// forgottenVersion is the newest version whose history was dropped. Feeds that ask for
	// changes after an older version are answered 410.
	forgottenVersion uint64
	calls            int
	reads            int
	writes           int
}

// New returns a platform without rows or objects.
func New() *Server {
	return &Server{startedAt: time.Now(), rows: map[RowName]Row{}, objects: map[string][]byte{}}
}

// Handler serves the table service, the object store, /control and /counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("POST /restore", s.restore)
	mux.HandleFunc("GET /counts", s.getCounts)
	mux.HandleFunc("GET /comfreycart/rows-get", s.withFaults(s.getRows))
	mux.HandleFunc("GET /comfreycart/rows-feed", s.feed)
	mux.HandleFunc("POST /comfreycart/rows-tx", s.withFaults(s.transact))
	mux.HandleFunc("PUT /comfreycart/blob-put/{name}", s.withFaults(s.putObject))
	mux.HandleFunc("GET /comfreycart/blob-get/{name}", s.withFaults(s.getObject))
	return s.withEra(mux)
}

// headerEra states how often the store was restored from a copy.
const headerEra = "Store-Era"

// withEra states the era in the answers of h. An answer that was begun before a restore states the
// era before it.
func (s *Server) withEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&eraWriter{ResponseWriter: w, server: s}, r)
	})
}

// eraWriter adds the era to an answer when its header is written.
type eraWriter struct {
	http.ResponseWriter
	server    *Server
	hasHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.hasHeader {
		w.hasHeader = true
		w.server.mu.Lock()
		era := w.server.era
		w.server.mu.Unlock()
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.hasHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Version returns the version of the newest transaction.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Restore replaces the tables by a copy of the given age, as RestoreTo does.
func (s *Server) Restore(age time.Duration) (lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	return s.cutHistory(func(row Row) bool { return !row.writtenAt.After(copiedAt) })
}

// RestoreTo replaces the tables by a copy made at the given version, and returns the rows that were
// written since in their last state. Their versions are given out again.
func (s *Server) RestoreTo(version uint64) (lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutHistory(func(row Row) bool { return row.Ver <= version })
}

// cutHistory undoes all transactions after those that isKept is true for, and begins the next era.
func (s *Server) cutHistory(isKept func(Row) bool) (lost []Row) {
	kept := sort.Search(len(s.history), func(i int) bool { return !isKept(s.history[i]) })
	last := map[RowName]Row{}
	for _, row := range s.history[kept:] {
		last[row.RowName] = row
	}
	for _, row := range last {
		lost = append(lost, row)
	}
	s.history, s.rows, s.version = s.history[:kept:kept], map[RowName]Row{}, 0
	for _, row := range s.history {
		s.rows[row.RowName], s.version = row, row.Ver
	}
	s.era++
	return lost
}

// operatorTable is the table whose rows the operators write again after a restore.
const operatorTable = "op"

// restore serves POST /restore?ageMs=N: it restores a copy of that age and writes the operators' rows
// again.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	ageMs, err := strconv.Atoi(r.URL.Query().Get("ageMs"))
	if err != nil || ageMs < 0 {
		http.Error(w, "ageMs: want a number of milliseconds", http.StatusBadRequest)
		return
	}
	for _, row := range s.Restore(time.Duration(ageMs) * time.Millisecond) {
		if row.Table == operatorTable {
			s.Put(row.RowName, row.Value)
		}
	}
	w.WriteHeader(http.StatusNoContent)
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

// handler handles a table or object call and returns the status and the value to answer,
// if any. It runs with Server.mu held.
type handler func(r *http.Request, body []byte) (int, any)

// withFaults wraps a handler so that the simulated faults apply to it.
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

// beginCall counts a call, and returns the current faults and whether to refuse the call.
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

// rowsAnswer is the answer of rows-get and rows-feed. NowMs is the time since the platform
// started, in milliseconds.
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

// feed is a long poll: it answers once rows of the table have changed after a version, or
// without rows when the requested wait is over.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil || waitMs > maxFeedWaitMs {
		http.Error(w, "bad question", http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		faults, refused := s.beginCall()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if refused {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		out, isForgotten := s.changesSince(q.Get("table"), after), after < s.forgottenVersion || after > s.version
		s.mu.Unlock()
		if isForgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Rows) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, out)
			return
		}
		time.Sleep(feedPoll)
	}
}

// changesSince returns the changes of a table after a version, oldest first.
func (s *Server) changesSince(table string, after uint64) rowsAnswer {
	list := []Row{}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			list = append(list, row)
		}
	}
	return rowsAnswer{Rows: list, Ver: s.version, NowMs: time.Since(s.startedAt).Milliseconds()}
}

// setRow writes a row and appends the change to the history, which feeds read.
func (s *Server) setRow(row Row) {
	row.writtenAt = time.Now()
	s.rows[row.RowName] = row
	s.history = append(s.history, row)
}

// transaction applies its writes and removals only if each expected row has the expected
// version. All its entries are in one part of a table.
type transaction struct {
	Expect []Row     `json:"expect"`
	Writes []Row     `json:"writes"`
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
	for _, w := range t.Writes {
		s.setRow(Row{RowName: w.RowName, Value: w.Value, Ver: s.version})
	}
	for _, name := range t.Remove {
		s.setRow(Row{RowName: name, Ver: s.version, Removed: true})
	}
	return http.StatusOK, map[string]uint64{"ver": s.version}
}

// currentRow returns the row with the name. A row that does not exist has version 0.
func (s *Server) currentRow(n RowName) Row {
	row := s.rows[n]
	if row.Removed {
		return Row{}
	}
	return row
}

// Put writes a row unconditionally, as an operator does.
func (s *Server) Put(n RowName, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(Row{RowName: n, Value: value, Ver: s.version})
}

// DropHistory makes all changes so far unavailable to feeds.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgottenVersion = s.version
}

// SetFaults replaces the simulated faults.
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
