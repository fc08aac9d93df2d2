package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It is always sound.
type store struct {
	mu      sync.Mutex
	rows    map[string]storeRow // by TABLE/KEY
	changes []storeRow
	version int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	started time.Time
}

type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() *store {
	return &store{rows: map[string]storeRow{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row on behalf of the operator or a replica.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Value: raw})
}

// remove removes a row on behalf of its owner.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Tombstone: true})
}

// write applies a change. The caller holds mu.
func (s *store) write(r storeRow) {
	s.version++
	r.Ver = s.version
	s.changes = append(s.changes, r)
	if s.rows[r.Table+"/"+r.Key] = r; r.Tombstone {
		delete(s.rows, r.Table+"/"+r.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer := map[string]any{}
	switch r.URL.Path {
	case names.PathRowsGet:
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
				rows = append(rows, row)
			}
		}
		answer["ver"] = s.version
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		answer["rows"], answer["has-more"] = rows, false
	case names.PathRowsFeed:
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		answer["rows"], answer["ver"] = s.waitForChanges(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case names.PathRowsTx:
		var tx struct{ Put, Remove []storeRow }
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		for _, p := range tx.Put {
			s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
		}
		for _, p := range tx.Remove {
			s.write(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Tombstone: true})
		}
		answer["ver"] = s.version
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer["now-ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// waitForChanges returns the changes of a table after a version, and waits for the first
// one.
func (s *store) waitForChanges(r *http.Request, table string, after int64, wait time.Duration) ([]storeRow, int64) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for last := wait <= 0; ; {
		s.mu.Lock()
		rows, version, changed := []storeRow{}, s.version, s.changed
		for _, c := range s.changes {
			if c.Table == table && c.Ver > after {
				rows = append(rows, c)
			}
		}
		s.mu.Unlock()
		if len(rows) > 0 || last {
			return rows, version
		}
		select {
		case <-changed:
		case <-timeout.C:
			last = true
		case <-r.Context().Done():
			last = true
		}
	}
}
