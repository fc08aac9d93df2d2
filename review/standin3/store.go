package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store. It loses nothing and keeps all its history.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []row
	// changed is closed and replaced with each change.
	changed chan struct{}
	conns   map[*gatedConn]bool
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), conns: map[*gatedConn]bool{}}
}

// apply makes the changes one transaction and returns its version.
func (s *store) apply(changes ...row) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	for _, r := range changes {
		r.Ver = s.ver
		key := r.Table + "/" + r.Part + "/" + r.Key
		if r.Tombstone {
			if _, ok := s.rows[key]; !ok {
				continue
			}
			delete(s.rows, key)
		} else {
			s.rows[key] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.apply(row{Table: table, Key: key, Value: data})
}

func (s *store) remove(table, key string) int64 {
	return s.apply(row{Table: table, Key: key, Tombstone: true})
}

// since returns the newest change of each row of a table after a version.
func (s *store) since(table string, after int64) (rows []row, ver int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for i, r := range s.history {
		if r.Table == table && r.Ver > after {
			newest[r.Part+"/"+r.Key] = i
		}
	}
	var order []int
	for _, i := range newest {
		order = append(order, i)
	}
	slices.Sort(order)
	for _, i := range order {
		rows = append(rows, s.history[i])
	}
	return rows, s.ver, s.changed
}

func (s *store) answer(w http.ResponseWriter, v map[string]any) {
	v["now-ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left gets nothing.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.Get, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") {
				rows = append(rows, x)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		slices.SortFunc(rows, func(a, b row) int { return compare(a.Key, b.Key) })
		s.answer(w, map[string]any{"rows": rows, "has-more": false, "ver": ver})
	})
	mux.HandleFunc("GET "+names.Feed, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for waiting := true; ; {
			rows, ver, changed := s.since(q.Get("table"), after)
			if len(rows) > 0 || !waiting {
				s.answer(w, map[string]any{"rows": append([]row{}, rows...), "ver": ver})
				return
			}
			select {
			case <-changed:
			case <-end:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST "+names.Tx, func(w http.ResponseWriter, r *http.Request) {
		var tx struct{ Put, Remove []row }
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&tx); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var changes []row
		for _, x := range tx.Put {
			changes = append(changes, row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value})
		}
		for _, x := range tx.Remove {
			changes = append(changes, row{Table: x.Table, Part: x.Part, Key: x.Key, Tombstone: true})
		}
		s.answer(w, map[string]any{"ver": s.apply(changes...)})
	})
	return mux
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// serve serves the store on a free port until the process ends and returns its address.
func (s *store) serve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(gatedListener{l, s}, s.handler()) }()
	return l.Addr().String()
}

// silence makes all open channels to the store go silent for good: nothing passes on them
// any more and they are not closed. New ones work.
func (s *store) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}
