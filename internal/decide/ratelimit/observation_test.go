package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// at returns an observation whose request was sent and answered so many milliseconds
// after start.
func at(perSecond float64, sentMs, receivedMs int) Observation {
	return Observation{perSecond, start.Add(time.Duration(sentMs) * time.Millisecond), start.Add(time.Duration(receivedMs) * time.Millisecond)}
}

// Guards against a limit that is lifted or raised by an answer that the endpoint wrote
// before it named the limit and that another answer has overtaken.
func TestMerge(t *testing.T) {
	for name, c := range map[string]struct {
		current, next, want Observation
	}{
		"a later answer without a limit lifts it":    {at(2, 0, 10), at(Unlimited, 20, 30), at(Unlimited, 20, 30)},
		"an overtaken answer without a limit":        {at(2, 0, 10), at(Unlimited, 5, 30), at(2, 0, 10)},
		"an overtaken answer with a higher limit":    {at(2, 0, 10), at(5, 5, 30), at(2, 0, 10)},
		"an overtaken answer with a lower limit":     {at(5, 0, 10), at(2, 5, 30), at(2, 5, 30)},
		"a later answer with a higher limit":         {at(2, 0, 10), at(5, 20, 30), at(5, 20, 30)},
		"an old limit that arrives after its end":    {at(Unlimited, 20, 30), at(2, 0, 10), at(Unlimited, 20, 30)},
		"the same limit again":                       {at(2, 0, 10), at(2, 5, 30), at(2, 5, 30)},
		"an older answer with the same limit":        {at(2, 5, 30), at(2, 0, 10), at(2, 5, 30)},
		"a first limit while unlimited since always": {Observation{PerSecond: Unlimited}, at(0, 0, 10), at(0, 0, 10)},
	} {
		if got := Merge(c.current, c.next, 0); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	if got := Merge(at(2, 0, 10), at(Unlimited, 20, 30), 50*time.Millisecond); got.PerSecond != 2 {
		t.Errorf("a limit was lifted by an answer that may be older, given the error of its times")
	}
}

// Guards against daemons that disagree for good on a limit because they heard of the same
// answers in different orders.
func TestMergeKeepsTheLowestOfTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Observation
		for range rapid.IntRange(1, 8).Draw(t, "observations") {
			sent := rapid.IntRange(0, 100).Draw(t, "sent")
			o := at(float64(rapid.IntRange(0, 3).Draw(t, "limit")), sent, sent+rapid.IntRange(0, 40).Draw(t, "took"))
			list = append(list, o)
		}
		last := list[0]
		for _, o := range list {
			if o.SentAt.After(last.SentAt) {
				last = o
			}
		}
		// An answer that is later than all others decides, whatever the order.
		final := Observation{PerSecond: 7, SentAt: last.SentAt.Add(time.Second), ReceivedAt: last.SentAt.Add(2 * time.Second)}
		list = append(list, final)
		order := rapid.Permutation(list).Draw(t, "order")
		current := Observation{PerSecond: Unlimited}
		for _, o := range order {
			current = Merge(current, o, 0)
		}
		if current != final {
			t.Fatalf("in force is %+v, the latest answer says %+v", current, final)
		}
	})
}
