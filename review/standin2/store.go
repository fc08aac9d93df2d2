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

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	cond    *sync.Cond
	rows    map[string]row
	changes []row
	ver     int64
	began   time.Time
	// refuse decides whether the call of a machine is turned away with 503.
	refuse func(ip string) bool
}

func newStore() *store {
	s := &store{rows: map[string]row{}, began: time.Now(), ver: 100}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// put writes a row. It is confirmed when put returns.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: raw})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[table+"\x00"+key]; ok {
		s.apply(row{Table: table, Key: key, Tombstone: true})
	}
}

// apply writes or removes a row. The caller holds mu.
func (s *store) apply(r row) {
	s.ver++
	r.Ver = s.ver
	s.changes = append(s.changes, r)
	if r.Tombstone {
		delete(s.rows, r.Table+"\x00"+r.Key)
	} else {
		s.rows[r.Table+"\x00"+r.Key] = r
	}
	s.cond.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	if refuse != nil && refuse(host) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	answer := map[string]any{}
	switch r.URL.Path {
	case names["rowsGet"]:
		s.mu.Lock()
		list := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Key >= q.Get("from") {
				list = append(list, x)
			}
		}
		answer["ver"] = s.ver
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		answer["rows"], answer["has-more"] = list, false
	case names["rowsFeed"]:
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		list, ver := s.feed(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		answer["rows"], answer["ver"] = list, ver
	case names["rowsTx"]:
		var tx struct {
			Put    []row `json:"put"`
			Remove []row `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		for _, p := range tx.Put {
			s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
		}
		for _, p := range tx.Remove {
			s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Tombstone: true})
		}
		answer["ver"] = s.ver
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer["now-ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// feed returns the changes of a table after a version. It waits for the first one.
func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) ([]row, int64) {
	end := time.Now().Add(wait)
	t := time.AfterFunc(wait, s.cond.Broadcast)
	defer t.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		list := []row{}
		for _, x := range s.changes {
			if x.Table == table && x.Ver > after {
				list = append(list, x)
			}
		}
		if len(list) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			return list, s.ver
		}
		s.cond.Wait()
	}
}
