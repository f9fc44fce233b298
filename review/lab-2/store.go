package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// route is a route of the configuration.
type route struct {
	Name, Host, Prefix, Kind string
	TimeoutMs, MaxAttempts   int
	Service                  string
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name        string
	Keys        []string
	Rate, Burst int
}

// config is the operator's configuration.
type config struct {
	Version  int
	Routes   []route
	Services []string
	Tenants  []tenant
}

// firstKey returns a key that the first route accepts.
func (c config) firstKey() string { return c.Tenants[0].Keys[0] }

// encode returns the configuration as the operator writes it.
func (c config) encode() []byte {
	var routes, services, tenants [][]any
	for _, r := range c.Routes {
		routes = append(routes, []any{r.Name, r.Host, r.Prefix, r.Kind, r.TimeoutMs, 1500, 1, nil, r.MaxAttempts, false, r.Service})
	}
	for _, s := range c.Services {
		services = append(services, []any{s, "/health", 500, "h1", false})
	}
	for _, t := range c.Tenants {
		tenants = append(tenants, []any{t.Name, t.Keys, 1, t.Rate, t.Burst})
	}
	data, err := json.Marshal(map[string]any{
		"version":  c.Version,
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "trafficSplit", "maxAttempts", "public", "service"}, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"}, "rows": services},
		"tenants":  map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"}, "rows": tenants},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}

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
}

// store plays the platform's metadata store: linearizable, nothing that it acknowledged is lost.
type store struct {
	w      *world
	server *http.Server

	mu      sync.Mutex
	changed chan struct{}
	rows    map[rowName]row
	history []row
	ver     uint64
	// era is stated in all answers.
	era uint64
}

func startStore(w *world, address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{w: w, rows: map[rowName]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /comfreycart/rows-get", s.get)
	mux.HandleFunc("GET /comfreycart/rows-feed", s.feed)
	mux.HandleFunc("POST /comfreycart/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) putConfig(c config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{rowName: rowName{Table: "op", Key: "config"}, Value: c.encode(), Ver: s.ver})
	s.w.logf("store: configuration %d acknowledged", c.Version)
}

// set applies a change. The caller holds s.mu.
func (s *store) set(r row) {
	if r.Removed {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

var storeStarted = time.Now()

func (s *store) answer(w http.ResponseWriter, status int, rows []row, hasMore bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": hasMore, "ver": s.ver, "nowMs": time.Since(storeStarted).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for name, x := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (q.Get("to") == "" || name.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	hasMore := len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, hasMore)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		if after > s.ver {
			s.answer(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		var rows []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || isOver {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect, Writes []row
		Remove         []rowName
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range tx.Writes {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	failed := false
	for _, e := range tx.Expect {
		x, exists := s.rows[e.rowName]
		if exists {
			current = append(current, x)
		}
		failed = failed || x.Ver != e.Ver
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
	s.answer(w, http.StatusOK, nil, false)
}
