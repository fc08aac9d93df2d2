package clients

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is used for.
type Phase uint8

// The phases of a connection.
const (
	// Idle connections wait for a request.
	Idle Phase = iota
	// ReadingHead and ReadingBody connections have sent a part of a request.
	ReadingHead
	ReadingBody
	// Serving connections wait for their answer or receive it.
	Serving
)

// Connection is the state of a client's connection. Times are running times of the
// process, so that a pause of the process does not count.
type Connection struct {
	Phase Phase
	// Since is when the phase began, LastByte when the client last sent a byte, Writing
	// when the write in progress began; 0 if there is none.
	Since, LastByte, Writing time.Duration
	// Client is the address of the client without its port. The platform may forward
	// connections of many clients from one address.
	Client string
}

// Times bounds the times that connections may take.
type Times struct {
	// Head bounds the time of a request's head, Idle the time without a request.
	Head, Idle time.Duration
	// Body bounds the time of a request's body, BodyPause the time without a byte of it.
	Body, BodyPause time.Duration
	// Pressed replaces Head and BodyPause for connections that send nothing while other
	// clients are refused for want of memory.
	Pressed time.Duration
	// Write bounds the time in which a client reads nothing of its answer.
	Write time.Duration
}

// Overdue returns the reason for which a connection is closed at the time now, or "".
func (t *Times) Overdue(c Connection, now time.Duration, pressed bool) string {
	silent := now - c.LastByte
	switch {
	case c.Writing > 0 && now-c.Writing > t.Write:
		return "answer not read"
	case c.Phase == Idle && now-c.Since > t.Idle:
		return "idle"
	case c.Phase == ReadingHead && (now-c.Since > t.Head || pressed && silent > t.Pressed):
		return "head too slow"
	case c.Phase == ReadingBody && (now-c.Since > t.Body || silent > t.BodyPause || pressed && silent > t.Pressed):
		return "body too slow"
	}
	return ""
}

// Yielding returns the indexes of up to n connections that are closed so that new ones find
// room; none if all are in use. Connections that wait for a request yield first, then
// those that have sent nothing for minSilence in the middle of one. Among them the client
// with the most connections yields, with those that have been silent longest.
func Yielding(list []Connection, n int, now, minSilence time.Duration) []int {
	counts := map[string]int{}
	var yielding []int
	for i := range list {
		c := &list[i]
		counts[c.Client]++
		stalled := (c.Phase == ReadingHead || c.Phase == ReadingBody) && now-c.LastByte >= minSilence
		if c.Phase == Idle || stalled {
			yielding = append(yielding, i)
		}
	}
	slices.SortFunc(yielding, func(i, j int) int {
		a, b := &list[i], &list[j]
		return cmp.Or(cmp.Compare(min(a.Phase, ReadingHead), min(b.Phase, ReadingHead)),
			cmp.Compare(counts[b.Client], counts[a.Client]), cmp.Compare(a.silentSince(), b.silentSince()))
	})
	return yielding[:min(n, len(yielding))]
}

func (c *Connection) silentSince() time.Duration { return max(c.Since, c.LastByte) }

const (
	// connectionsPerMB bounds the connections by the machine's memory: an idle one takes
	// about 20 KB.
	connectionsPerMB = 10
	// descriptorShare is the part of a machine's descriptors that callers' connections may
	// take. A request in progress needs another one.
	descriptorShare = 0.42
	// fileDescriptors are those that the platform reserves for files, at most fileShare
	// of all.
	fileDescriptors = 200
	fileShare       = 0.125
)

// MaxConnections returns the number of callers' connections on a machine with the given
// memory in bytes and number of descriptors.
func MaxConnections(machine int64, descriptors int) int {
	sockets := descriptors - min(fileDescriptors, int(fileShare*float64(descriptors)))
	return max(min(int(descriptorShare*float64(sockets)), int(machine>>20)*connectionsPerMB), 1)
}
