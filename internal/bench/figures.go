package bench

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"

	"eelgrassgrade/internal/load"
	"eelgrassgrade/internal/standin"
)

// measurement is what one run gives.
type measurement struct {
	result *load.Result
	// counts holds the sums over the stand-ins of each pool.
	counts map[string]standin.Counts
	// localCalls and allCalls are the stage calls that stayed in the daemon's data
	// centre, and all.
	localCalls, allCalls float64
	// lastFaultS is the time of the last fault change, in seconds after the start.
	lastFaultS float64
}

// figure computes one number of a run.
type figure func(measurement) (float64, error)

// parseFigure returns the figure with the given name:
//
//	GROUP.FIELD               a field of a result row, such as rank:urgent.latency.p99_ms
//	counts.POOL.FIELD         a count of the pool's stand-ins
//	calls_per_request.POOL    calls that the pool got per request that was sent
//	cancelled_share.POOL      slot time of cancelled generations / all slot time
//	jain.CLASS,CLASS...       Jain index of the classes' goodput
//	local_share               part of the stage calls that stayed in the data centre
//	recovery_s                time after the last fault change until 95% are in time again
func parseFigure(name string) (figure, error) {
	head, suffix, _ := strings.Cut(name, ".")
	switch head {
	case "counts":
		pool, field, ok := strings.Cut(suffix, ".")
		if _, err := numberAt(standin.Counts{}, field); !ok || err != nil {
			return nil, errors.Errorf("figure %q: no such count", name)
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

// numberAt returns the number at the dotted path of v's JSON form.
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

// callsPerRequest counts the warm-up's requests too, since the stand-ins do.
func callsPerRequest(m measurement, pool string) (float64, error) {
	sent := int64(0)
	for _, points := range m.result.Series {
		for _, p := range points {
			sent += p.Offered
		}
	}
	return float64(m.counts[pool].Calls) / float64(max(1, sent)), nil
}

// jainIndex returns the Jain index, 1 for equal goodput and 1/n if one class has all.
func jainIndex(m measurement, classes []string) (float64, error) {
	sum, squares := 0.0, 0.0
	for _, c := range classes {
		row := m.result.Groups["class:"+c]
		if row == nil {
			return 0, errors.Errorf("jain: no class %q", c)
		}
		sum += row.GoodputPerS
		squares += row.GoodputPerS * row.GoodputPerS
	}
	if squares == 0 {
		return 0, nil
	}
	return sum * sum / (float64(len(classes)) * squares), nil
}

// recoveredShare is the part of a second's requests that must be in time for
// the second to count as recovered.
const recoveredShare = 0.95

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

// median returns the median of values and their range.
func median(values []float64) (mid, low, high float64) {
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2, v[0], v[n-1]
}
