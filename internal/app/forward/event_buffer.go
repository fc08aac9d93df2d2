package forward

import (
	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/decide/clients"
)

const (
	// maxEventBytes bounds the size of one event of a stream that may be resumed.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size up to which an event's memory is not counted by itself.
	freeEventBytes = 2 * readBufferSize
	// separatorOverlap is the longest part of the end of an event that can arrive before
	// the rest of it.
	separatorOverlap = len("\r\n\r\n") - 1
)

// eventBuffer holds the part of an event that has arrived, so that only whole events are
// relayed. If the account has no memory for more, the event is relayed as it arrives.
type eventBuffer struct {
	memory *holding.Memory
	// ask says for whom memory is taken, hold is what was taken; nil if nothing was.
	ask  clients.Ask
	hold *holding.Hold
	// data begins with overlap bytes that were relayed before and are kept to find the end
	// of their event. The last call of add has returned the bytes from there to relayEnd.
	data              []byte
	overlap, relayEnd int
	// passing is true while an event is relayed as it arrives.
	passing bool
	// eventBytes is the size of the present event so far.
	eventBytes int
}

// add adds at most readBufferSize bytes of the stream. It returns the bytes to relay, which
// are valid until the next call, and false if the event is larger than maxEventBytes.
func (b *eventBuffer) add(data []byte) (relay []byte, ok bool) {
	b.dropRelayed()
	searchFrom := max(len(b.data)-separatorOverlap, 0)
	b.data = append(b.data, data...)
	b.eventBytes += len(data)
	end := endOfLastEvent(b.data[searchFrom:])
	switch {
	case end > 0:
		b.passing = false
		b.relayEnd = searchFrom + end
		b.eventBytes = len(b.data) - b.relayEnd
	case b.passing || !b.reserve():
		b.passing = true
		b.relayEnd = len(b.data)
	default:
		return nil, b.eventBytes <= maxEventBytes
	}
	return b.data[b.overlap:b.relayEnd], b.eventBytes <= maxEventBytes
}

// withinEvent reports whether the beginning of an event was relayed without its end.
func (b *eventBuffer) withinEvent() bool { return b.passing }

// dropRelayed removes the bytes that the last call of add returned. Of an event that is
// relayed as it arrives, enough is kept to find its end.
func (b *eventBuffer) dropRelayed() {
	if b.relayEnd == 0 {
		return
	}
	b.overlap = 0
	if b.passing {
		b.overlap = min(separatorOverlap, b.relayEnd)
	}
	rest := b.data[b.relayEnd-b.overlap:]
	b.relayEnd = 0
	if b.hold == nil {
		b.data = b.data[:copy(b.data, rest)]
		return
	}
	b.data = append([]byte(nil), rest...)
	b.release()
}

// reserve reports whether there is memory for another read of the present event.
func (b *eventBuffer) reserve() bool {
	needed := len(b.data) + readBufferSize
	if needed <= max(freeEventBytes, cap(b.data)) {
		return true
	}
	size := min(2*needed, maxEventBytes+2*readBufferSize)
	b.ask.Bytes = int64(size)
	var d clients.Decision
	b.hold, d = b.memory.TakeOrResize(b.hold, b.ask)
	if d.Allowed {
		b.data = append(make([]byte, 0, size), b.data...)
	}
	return d.Allowed
}

// release returns the memory that was taken.
func (b *eventBuffer) release() {
	b.hold.Release()
	b.hold = nil
}
