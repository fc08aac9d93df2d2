package bench

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"

	"eelgrassgrade/internal/load"
	"eelgrassgrade/internal/standin"
)

// measurement holds the results of one run from which figures are computed.
type measurement struct {
	result *load.Result
	// counts holds the sum of the stand-ins' counts, by pool.
	counts map[string]standin.Counts
	// localCalls is the number of stage calls that stayed in the daemon's data centre,
	// allCalls the number of all stage calls.
	localCalls, allCalls float64
	// lastFaultS is the time of the last change of faults, in seconds after the start.
	lastFaultS float64
}

// figure computes one number from the results of a run.
type figure func(measurement) (float64, error)

// parseFigure returns the figure with the given name:
//
//	GROUP.FIELD               field of a load result row, such as rank:urgent.latency.p99_ms
//	counts.POOL.FIELD         field of standin.Counts, summed over the pool
//	calls_per_request.POOL    calls to the pool per request offered
//	cancelled_share.POOL      fraction of the slot time spent on cancelled generations
//	jain.CLASS,CLASS...       Jain's fairness index of the classes' goodput
//	local_share               fraction of the stage calls that stayed in the data centre
//	recovery_s                time from the last change of faults until recovery, see recoveredShare
func parseFigure(name string) (figure, error) {
	head, suffix, _ := strings.Cut(name, ".")
	switch head {
	case "counts":
		pool, field, ok := strings.Cut(suffix, ".")
		if _, err := numberAt(standin.Counts{}, field); !ok || err != nil {
			return nil, errors.Errorf("figure %q: no such count of stand-ins", name)
		}
		return func(m measurement) (float64, error) { return numberAt(m.counts[pool], field) }, nil
	case "calls_per_request":
		return func(m measurement) (float64, error) { return callsPerRequest(m, suffix) }, nil
	case "cancelled_share":
		return func(m measurement) (float64, error) {
			c := m.counts[suffix]
			return c.CancelledBusyMs / max(1, c.BusyMs), nil
		}, nil
	case "jain":
		return func(m measurement) (float64, error) { return jainIndex(m, strings.Split(suffix, ",")) }, nil
	case "local_share":
		return func(m measurement) (float64, error) { return m.localCalls / max(1, m.allCalls), nil }, nil
	case "recovery_s":
		return recoveryTime, nil
	}
	if _, err := numberAt(load.Row{}, suffix); err != nil {
		return nil, errors.Errorf("figure %q: no such field", name)
	}
	return func(m measurement) (float64, error) {
		row := m.result.Groups[head]
		if row == nil {
			return 0, errors.Errorf("figure %q: no such group", name)
		}
		return numberAt(row, suffix)
	}, nil
}

// numberAt returns the number at the dotted path in the JSON encoding of v.
func numberAt(v any, path string) (float64, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	var node any
	if err := json.Unmarshal(b, &node); err != nil {
		return 0, err
	}
	for _, key := range strings.Split(path, ".") {
		m, _ := node.(map[string]any)
		node = m[key]
	}
	n, ok := node.(float64)
	if !ok {
		return 0, errors.Errorf("no number at %q", path)
	}
	return n, nil
}

// callsPerRequest returns the calls to the pool per offered request. It includes the
// warm-up, since the counts of the stand-ins do.
func callsPerRequest(m measurement, pool string) (float64, error) {
	sent := int64(0)
	for _, points := range m.result.Series {
		for _, p := range points {
			sent += p.Offered
		}
	}
	return float64(m.counts[pool].Calls) / float64(max(1, sent)), nil
}

// jainIndex returns Jain's fairness index: 1 if all n classes have the same goodput,
// 1/n if one class has all of it, 0 without any goodput.
func jainIndex(m measurement, classes []string) (float64, error) {
	sum, squares := 0.0, 0.0
	for _, c := range classes {
		row := m.result.Groups["class:"+c]
		if row == nil {
			return 0, errors.Errorf("figure jain: no results for class %q", c)
		}
		sum += row.GoodputPerS
		squares += row.GoodputPerS * row.GoodputPerS
	}
	if squares == 0 {
		return 0, nil
	}
	return sum * sum / (float64(len(classes)) * squares), nil
}

// recoveredShare is the fraction of the requests arriving in a second that must be
// answered in time for that second to count as recovered.
const recoveredShare = 0.95

// recoveryTime returns the seconds from the last change of faults to the end of the
// last second that does not count as recovered.
func recoveryTime(m measurement) (float64, error) {
	var offered, inTime []int64
	for _, points := range m.result.Series {
		for i, p := range points {
			for len(offered) <= i {
				offered, inTime = append(offered, 0), append(inTime, 0)
			}
			offered[i] += p.Offered
			inTime[i] += p.InTime
		}
	}
	for i := len(offered) - 1; i >= 0; i-- {
		if float64(inTime[i]) < recoveredShare*float64(offered[i]) {
			return max(0, float64(i+1)-m.lastFaultS), nil
		}
	}
	return 0, nil
}

// median returns the median, minimum and maximum of values.
func median(values []float64) (mid, low, high float64) {
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2, v[0], v[n-1]
}
