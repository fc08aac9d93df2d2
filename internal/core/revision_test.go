package core

import "testing"

// Guards against a state of the store that counts as newer only because its version is
// higher, although the store was restored since, and against copies that do not get what
// the store has lost from a copy that has it.
func TestPositionsAreOrdered(t *testing.T) {
	position := func(restorations, priorRestorations, priorVersion, version int64) CopyPosition {
		return CopyPosition{StoreRevision{restorations, version}, StoreRevision{priorRestorations, priorVersion}}
	}
	ascending := []CopyPosition{
		position(UnknownRestorations, 0, 0, 99),
		position(0, 0, 0, 0),
		position(1, 0, 0, 50),
		position(1, 0, 0, 57),
		position(2, 0, 0, 60),
		position(2, 1, 45, 70),
		position(2, 1, 57, 40),
		position(2, 1, 57, 41),
		position(3, 1, 57, 3),
		position(3, 2, 9, 1),
	}
	for i, a := range ascending {
		for j, b := range ascending {
			want := 0
			switch {
			case i < j:
				want = -1
			case i > j:
				want = 1
			}
			if got := a.Compare(b); got != want {
				t.Errorf("%+v compared with %+v: %d, want %d", a, b, got, want)
			}
		}
	}
	if (StoreRevision{2, 40}).Compare(StoreRevision{1, 57}) != 1 || (StoreRevision{1, 40}).Compare(StoreRevision{1, 57}) != -1 {
		t.Error("revisions are not ordered by restorations, then by version")
	}
}
