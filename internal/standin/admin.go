package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// fencingHeader is the request header with the fencing token of a command.
const fencingHeader = "X-Fencing-Token"

// engineState describes the model that an engine serves. It is the body of GET
// /admin/state and of POST /admin/load.
type engineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// FencingToken is the fencing token of the last accepted command.
	FencingToken uint64 `json:"fencing_token"`
}

// acceptedCommand records one accepted load command.
type acceptedCommand struct {
	Order int         `json:"order"`
	At    time.Time   `json:"at"`
	Token uint64      `json:"token"`
	Load  engineState `json:"load"`
}

// engineAdmin implements an engine's admin API and records the commands that it
// accepted.
type engineAdmin struct {
	// checksFencing makes the engine refuse a command whose fencing token is below
	// the highest one accepted.
	checksFencing bool

	mu           sync.Mutex
	state        engineState
	highestToken uint64
	accepted     []acceptedCommand
}

func (a *engineAdmin) getState(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	s := a.state
	a.mu.Unlock()
	if s.Adapters == nil {
		s.Adapters = []string{}
	}
	writeJSON(w, s)
}

func (a *engineAdmin) loadModel(w http.ResponseWriter, r *http.Request) {
	var s engineState
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var token uint64
	if h := r.Header.Get(fencingHeader); h != "" {
		t, err := strconv.ParseUint(h, 10, 64)
		if err != nil {
			http.Error(w, "the fencing token is not an unsigned integer", http.StatusBadRequest)
			return
		}
		token = t
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checksFencing && token < a.highestToken {
		http.Error(w, "the fencing token is below the highest accepted one", http.StatusConflict)
		return
	}
	a.highestToken = max(a.highestToken, token)
	s.FencingToken = token
	a.state = s
	a.accepted = append(a.accepted, acceptedCommand{Order: len(a.accepted) + 1, At: time.Now(), Token: token, Load: s})
	w.WriteHeader(http.StatusNoContent)
}

func (a *engineAdmin) listCommands(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	list := slices.Clone(a.accepted)
	a.mu.Unlock()
	if list == nil {
		list = []acceptedCommand{}
	}
	writeJSON(w, list)
}
