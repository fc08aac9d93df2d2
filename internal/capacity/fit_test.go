package capacity

import (
	"math"
	"testing"
)

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

// Guards against plausible but wrong figures for the design scale: from a fit that
// swaps axes or uses rows that differ from the base in two sizes, and from an
// extrapolation that counts the base's share of an axis twice.
func TestExtrapolationOfKnownCosts(t *testing.T) {
	cost := func(s Size) float64 {
		return 7 + 0.5*float64(s.Daemons) + 0.25*float64(s.Endpoints) + 0.125*float64(s.Accounts) + 2*float64(s.Pipelines)
	}
	base := Size{Daemons: 8, Endpoints: 20, Accounts: 5, Pipelines: 3}
	var rows []Row
	add := func(s Size) {
		rows = append(rows, Row{Size: s, Figures: map[string]float64{figureCPU: cost(s)}})
	}
	for _, n := range []int{8, 16, 32, 64} {
		s := base
		s.Daemons = n
		add(s)
	}
	for _, a := range sizeAxes[1:] {
		for _, level := range a.levels {
			s := base
			*a.sizeField(&s) = level
			if s != base {
				add(s)
			}
		}
	}
	rows = append(rows, Row{Size: Size{Daemons: 64, Endpoints: 300, Accounts: 5, Pipelines: 3}, Figures: map[string]float64{figureCPU: 1e9}})
	var lines []Line
	for i, a := range sizeAxes {
		l, err := fitAxis(rows, base, a, figureCPU)
		if err != nil {
			t.Fatal(err)
		}
		if want := []float64{0.5, 0.25, 0.125, 2}[i]; !approxEqual(l.Slope, want) || l.Residual > 1e-6 {
			t.Errorf("%s: slope %g, residual %g, want %g and 0", a.name, l.Slope, l.Residual, want)
		}
		lines = append(lines, l)
	}
	if got, want := extrapolate(sizeAxes, lines, base, designScale), cost(designScale); !approxEqual(got, want) {
		t.Errorf("extrapolated %g, want %g", got, want)
	}
	if got := extrapolate(sizeAxes, lines, base, base); !approxEqual(got, cost(base)) {
		t.Errorf("at the base %g, want %g", got, cost(base))
	}
}

// Guards against a residual of zero for points off the line, which would hide that a
// figure does not grow linearly, and against a line through a single x value.
func TestResidualOfPointsOffTheLine(t *testing.T) {
	l, err := fitLine([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1})
	if err != nil || !approxEqual(l.Slope, 0) || !approxEqual(l.Residual, 1) {
		t.Errorf("%+v, %v, want slope 0 and residual 1", l, err)
	}
	if _, err := fitLine([]float64{3, 3}, []float64{1, 2}); err == nil {
		t.Error("a line through points at one place has no error")
	}
}

// Guards against an extrapolation of work that the daemons share with a line along
// their number, which falls below zero at the design scale.
func TestExtrapolationOfSharedWork(t *testing.T) {
	base := Size{Daemons: 8}
	var rows []Row
	for _, n := range []int{8, 16, 32, 64} {
		rows = append(rows, Row{Size: Size{Daemons: n}, Figures: map[string]float64{figureCPU: 2 + 80/float64(n)}})
	}
	l, err := fitAxis(rows, base, inverseDaemons, figureCPU)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := extrapolate([]axis{inverseDaemons}, []Line{l}, base, Size{Daemons: 330}), 2+80.0/330; !approxEqual(got, want) {
		t.Errorf("extrapolated %g, want %g", got, want)
	}
}
