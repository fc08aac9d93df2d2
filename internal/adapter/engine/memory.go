package engine

import (
	"io"
	"runtime"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/clients"
)

const (
	// unfinishedAnswersBytes bounds the memory for answers and events of all endpoints that
	// have begun to arrive, those of up to freeAnswerBytes each not counted.
	unfinishedAnswersBytes = 256 << 20
	freeAnswerBytes        = 64 << 10
	// firstAnswerBuffer is the size of the buffer that an answer without a length is first
	// read into.
	firstAnswerBuffer = 4 << 10
)

// errNoMemory is the error of a read for which there is no memory.
const errNoMemory = errors.ConstError("too many unfinished answers of endpoints are in memory")

// newAnswerMemory returns an account with the given room in bytes.
func newAnswerMemory(room int64) *holding.Memory {
	return holding.New(clients.Room{Total: room, Large: room, Small: freeAnswerBytes}, time.Now)
}

// readAnswer reads a body of up to limit bytes whose length is announced, -1 if it is not. It
// returns errNoMemory if an answer of more than freeAnswerBytes finds no memory, and more
// than limit bytes if the body is longer.
func readAnswer(memory *holding.Memory, body io.Reader, announced, limit int64) ([]byte, error) {
	var hold *holding.Hold
	defer func() { hold.Release() }()
	if announced > freeAnswerBytes && announced <= limit {
		if !take(memory, &hold, announced) {
			return nil, errNoMemory
		}
		answer := make([]byte, announced)
		n, err := io.ReadFull(body, answer)
		return answer[:n], err
	}
	buffer := make([]byte, 0, min(firstAnswerBuffer, limit+1))
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF || err == nil && int64(len(buffer)) > limit:
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) < cap(buffer):
			continue
		}
		size := min(2*int64(cap(buffer)), limit+1)
		// Both buffers exist for a moment.
		if size > freeAnswerBytes && !take(memory, &hold, int64(cap(buffer))+size) {
			return nil, errNoMemory
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
}

// take changes the memory that is held to n bytes and reports whether there is room.
func take(memory *holding.Memory, hold **holding.Hold, n int64) bool {
	var d clients.Decision
	*hold, d = memory.TakeOrResize(*hold, clients.Ask{Kind: clients.Answer, Bytes: n})
	return d.Allowed
}

// eventBody is the body of a stream. It takes memory for an event of more than
// freeAnswerBytes and fails with errNoMemory if there is none.
type eventBody struct {
	io.Reader
	memory *holding.Memory
	hold   *holding.Hold
	// eventBytes is what was read since the last event.
	eventBytes int
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	// A stream without end that never blocks would keep its processor from other calls.
	runtime.Gosched()
	if b.eventBytes > freeAnswerBytes && b.hold == nil && !take(b.memory, &b.hold, 2*maxEventBytes) {
		return 0, errNoMemory
	}
	n, err := b.Reader.Read(p)
	b.eventBytes += n
	return n, err
}

// endEvent returns the memory of an event that was read.
func (b *eventBody) endEvent() {
	b.eventBytes = 0
	b.hold.Release()
	b.hold = nil
}

// readError returns the error of an answer that could not be read to its end.
func (a *attempt) readError(kind core.Kind, detail string, err error) *core.Error {
	if errors.Is(err, errNoMemory) {
		return a.newError(core.Upstream, errNoMemory.Error(), err)
	}
	return a.newError(kind, detail, err)
}
