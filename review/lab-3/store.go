package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowName is the name of a row of the platform's store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`

	writtenAt time.Time
}

// store stands in for the platform's metadata store: rows, transactions and the feed of changes.
type store struct {
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowName]row
	history []row
	// era counts the restores from a copy.
	era  uint64
	down bool
}

func newStore() *store { return &store{started: time.Now(), rows: map[rowName]row{}} }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /comfreycart/rows-tx", s.transact)
	mux.HandleFunc("GET /comfreycart/rows-get", s.get)
	mux.HandleFunc("GET /comfreycart/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// restore brings the store back as it was at a time; the operator then writes its rows again. It returns the
// number of rows that the copy lacks.
func (s *store) restore(copied time.Time) (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, rows := s.history, s.rows
	s.history, s.rows, s.ver = nil, map[rowName]row{}, 0
	for _, r := range before {
		if r.writtenAt.After(copied) {
			break
		}
		s.history, s.rows[r.rowName], s.ver = append(s.history, r), r, r.Ver
	}
	lost = len(rows) - len(s.rows)
	for name, r := range rows {
		if name.Table == "op" {
			s.ver++
			s.set(row{rowName: name, Value: r.Value, Ver: s.ver})
		}
	}
	s.era++
	s.down = false
	return lost
}

// put writes a row as the operator does.
func (s *store) put(name rowName, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{rowName: name, Value: value, Ver: s.ver})
}

func (s *store) set(r row) {
	r.writtenAt = time.Now()
	s.rows[r.rowName] = r
	s.history = append(s.history, r)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx struct {
		Expect, Writes []row
		Remove         []rowName
	}
	if json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	failed := false
	for _, e := range tx.Expect {
		have := s.rows[e.rowName]
		if have.Removed {
			have = row{}
		}
		failed = failed || have.Ver != e.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, x := range tx.Writes {
		s.set(row{rowName: x.rowName, Value: x.Value, Ver: s.ver})
	}
	for _, name := range tx.Remove {
		s.set(row{rowName: name, Ver: s.ver, Removed: true})
	}
	s.answer(w, http.StatusOK, []row{}, false)
}

// answer writes rows. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	const most = 500
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > most {
		limit = most
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for name, x := range s.rows {
		if !x.Removed && name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (q.Get("to") == "" || name.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	s.answer(w, http.StatusOK, list[:min(len(list), limit)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for end := time.Now().Add(time.Duration(waitMs) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		if after > s.ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				list = append(list, x)
			}
		}
		if len(list) > 0 || !time.Now().Before(end) {
			s.answer(w, http.StatusOK, list, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}
