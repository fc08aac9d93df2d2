// Package holding keeps the account of the memory that a daemon holds for its clients.
package holding

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/decide/clients"
)

// Memory is the account of one daemon. Nil has room for everything.
type Memory struct {
	now func() time.Time
	// refused is set when there was no room.
	refused atomic.Bool

	mu      sync.Mutex
	account *clients.Memory
}

// New returns an account with the given room.
func New(room clients.Room, now func() time.Time) *Memory {
	return &Memory{now: now, account: clients.NewMemory(room)}
}

// Hold is memory that is held for a request. Its methods are safe for concurrent use; nil
// holds nothing.
type Hold struct {
	memory *Memory
	since  time.Time

	mu  sync.Mutex
	ask clients.Ask
	// users counts the readers of the memory and its owner.
	users    int
	released bool
}

// Take takes memory, or returns nil if there is no room.
func (m *Memory) Take(a clients.Ask) (*Hold, clients.Decision) {
	if m == nil {
		return nil, clients.Decision{Allowed: true}
	}
	if d := m.take(a); !d.Allowed {
		return nil, d
	}
	return &Hold{memory: m, since: m.now(), ask: a, users: 1}, clients.Decision{Allowed: true}
}

// TakeOrResize changes what h holds to a.Bytes, or takes it if h is nil. It returns h, or
// what was taken, and whether there was room; without room nothing changes.
func (m *Memory) TakeOrResize(h *Hold, a clients.Ask) (*Hold, clients.Decision) {
	if h == nil {
		return m.Take(a)
	}
	return h, h.Resize(a.Bytes)
}

func (m *Memory) take(a clients.Ask) clients.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.note(m.account.Take(a))
}

func (m *Memory) resize(old, a clients.Ask) clients.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.note(m.account.Resize(old, a))
}

func (m *Memory) note(d clients.Decision) clients.Decision {
	if !d.Allowed && !d.Never {
		m.refused.Store(true)
	}
	return d
}

func (m *Memory) free(a clients.Ask, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Free(a, held)
}

// Held returns the held bytes by kind.
func (m *Memory) Held() [clients.Kinds]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Held()
}

// Room returns the room for all clients.
func (m *Memory) Room() clients.Room { return m.account.Room() }

// TakeRefused reports whether memory was refused for want of room since the last call.
func (m *Memory) TakeRefused() bool { return m.refused.Swap(false) }

// Resize changes the held bytes to n, of a request whose size is known to be n or more.
func (h *Hold) Resize(n int64) clients.Decision {
	if h == nil {
		return clients.Decision{Allowed: true}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return clients.Decision{Allowed: true}
	}
	resized := h.ask
	resized.Bytes, resized.Size = n, max(n, h.ask.Size)
	d := h.memory.resize(h.ask, resized)
	if d.Allowed {
		h.ask = resized
	}
	return d
}

// Use marks the memory as read until done is called. It is called before Release.
func (h *Hold) Use() (done func()) {
	if h == nil {
		return func() {}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users++
	return sync.OnceFunc(h.leave)
}

// Release returns the memory as soon as no one reads it any more. Only the first call
// counts.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	first := !h.released
	h.released = true
	h.mu.Unlock()
	if first {
		h.leave()
	}
}

func (h *Hold) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users--; h.users == 0 {
		h.memory.free(h.ask, h.memory.now().Sub(h.since))
	}
}
