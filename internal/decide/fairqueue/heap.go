package fairqueue

import "container/heap"

// indexedHeap is a binary heap whose items store their position, so that any of them
// can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	pos   func(T) *int // where an item stores its position
}

// absent is the position of an item that is in no heap.
const absent = -1

var _ heap.Interface = (*indexedHeap[int])(nil)

// Len implements sort.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements sort.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements sort.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]), *h.pos(h.items[j]) = i, j
}

// Push implements heap.Interface; use add.
func (h *indexedHeap[T]) Push(x any) {
	it := x.(T)
	*h.pos(it) = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface; use remove.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.pos(it) = absent
	return it
}

func (h *indexedHeap[T]) add(it T)      { heap.Push(h, it) }
func (h *indexedHeap[T]) fix(it T)      { heap.Fix(h, *h.pos(it)) }
func (h *indexedHeap[T]) first() T      { return h.items[0] }
func (h *indexedHeap[T]) has(it T) bool { return *h.pos(it) != absent }

func (h *indexedHeap[T]) remove(it T) {
	if h.has(it) {
		heap.Remove(h, *h.pos(it))
	}
}
