package fleetrpc

import (
	"sync"

	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
)

// taskSet holds the stage tasks in progress. Its size is bounded by the calls in progress.
type taskSet struct {
	mu    sync.Mutex
	tasks map[*stagework.Task]struct{}
}

// add adds a task and returns the function that removes it.
func (s *taskSet) add(t *stagework.Task) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks == nil {
		s.tasks = map[*stagework.Task]struct{}{}
	}
	s.tasks[t] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.tasks, t)
	}
}

// requests returns the requests of the tasks, one entry for each task.
func (s *taskSet) requests() []core.RequestID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]core.RequestID, 0, len(s.tasks))
	for t := range s.tasks {
		ids = append(ids, t.Request)
	}
	return ids
}

// PeerTasks returns the requests of the stage tasks that other daemons have submitted and
// that wait or run, one entry for each task.
func (s *Server) PeerTasks() []core.RequestID { return s.tasks.requests() }
