package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowName identifies a row of the store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storeRow struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowName]storeRow
	history []storeRow
	version uint64
	down    bool
	changed chan struct{}
	server  *http.Server
}

func startStore(address string) (*store, error) {
	s := &store{started: time.Now(), rows: map[rowName]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /comfreycart/rows-tx", s.transact)
	mux.HandleFunc("GET /comfreycart/rows-get", s.get)
	mux.HandleFunc("GET /comfreycart/rows-feed", s.feed)
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "0")
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(lis) }()
	return s, nil
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes every call answer 503, which means that nothing was done.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(name rowName, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{rowName: name, Value: value, Ver: s.version})
	s.wake()
}

func (s *store) set(row storeRow) {
	s.rows[row.rowName] = row
	s.history = append(s.history, row)
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []storeRow `json:"expect"`
		Writes []storeRow `json:"writes"`
		Remove []rowName  `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	held := true
	for _, e := range tx.Expect {
		row := s.rows[e.rowName]
		if row.Removed {
			row = storeRow{rowName: e.rowName}
		}
		current = append(current, row)
		held = held && row.Ver == e.Ver
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, x := range tx.Writes {
		s.set(storeRow{rowName: x.rowName, Value: x.Value, Ver: s.version})
	}
	for _, name := range tx.Remove {
		s.set(storeRow{rowName: name, Ver: s.version, Removed: true})
	}
	s.wake()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for name, row := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && !row.Removed &&
			name.Key >= q.Get("from") && (q.Get("to") == "" || name.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || last {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
