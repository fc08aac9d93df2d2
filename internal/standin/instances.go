package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
)

// InstanceList stands in for the platform's instance list, which publishes changes
// with a delay.
type InstanceList struct {
	faults faultState

	mu      sync.Mutex
	lag     time.Duration
	current map[core.InstanceID]core.Instance
	// published is the list that readers get: current as it was one lag ago.
	published []core.Instance
	// lastChange numbers the changes of current; publishedChange is the number of
	// the last one that is in published.
	lastChange, publishedChange uint64
	reads                       int64
}

// NewInstanceList returns an empty list that publishes each change after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{lag: lag, current: map[core.InstanceID]core.Instance{}, published: []core.Instance{}}
}

// LoadInitial adds instances and publishes them at once, as the initial state.
func (l *InstanceList) LoadInitial(list []core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, instance := range list {
		l.current[instance.ID] = instance
	}
	l.published = l.sortedInstances()
}

// Set adds or replaces an instance.
func (l *InstanceList) Set(instance core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[instance.ID] = instance
	l.schedulePublish()
}

func (l *InstanceList) remove(id core.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.schedulePublish()
}

func (l *InstanceList) sortedInstances() []core.Instance {
	list := make([]core.Instance, 0, len(l.current))
	for _, instance := range l.current {
		list = append(list, instance)
	}
	slices.SortFunc(list, func(a, b core.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// schedulePublish publishes the current list after the lag.
func (l *InstanceList) schedulePublish() {
	list := l.sortedInstances()
	l.lastChange++
	change := l.lastChange
	if l.lag == 0 {
		l.published, l.publishedChange = list, change
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		// Timers with the same duration may fire in any order; a newer list must not
		// be replaced by an older one.
		if change > l.publishedChange {
			l.published, l.publishedChange = list, change
		}
	})
}

// ServeHTTP answers with the published list.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.faults.applyCallFaults(w, r) {
		return
	}
	l.mu.Lock()
	l.reads++
	list := l.published
	l.mu.Unlock()
	writeJSON(w, map[string]any{"instances": list})
}

// ControlHandler returns the handler of the control port: POST /faults, POST
// /lag?lag=DURATION, PUT /instances with one instance, DELETE /instances/{id},
// GET /counts.
func (l *InstanceList) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &l.faults)
	mux.HandleFunc("POST /lag", func(w http.ResponseWriter, r *http.Request) {
		lag, err := time.ParseDuration(r.URL.Query().Get("lag"))
		if err != nil || lag < 0 {
			http.Error(w, "lag is not a duration of 0 or more", http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		l.lag = lag
		l.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var instance core.Instance
		if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(instance)
	})
	mux.HandleFunc("DELETE /instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.remove(core.InstanceID(r.PathValue("id")))
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, map[string]int64{"reads": l.reads, "items": int64(len(l.published))})
	})
	return mux
}
