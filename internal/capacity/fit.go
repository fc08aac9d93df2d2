package capacity

import (
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// axis is one of the sizes in Size, along which figures are fitted.
type axis struct {
	name      string
	sizeField func(*Size) *int
	levels    []int
	// inverse means that figures are fitted against 1/size.
	inverse bool
}

// value returns the coordinate of s on the axis.
func (a axis) value(s Size) float64 {
	n := float64(*a.sizeField(&s))
	if a.inverse {
		return 1 / n
	}
	return n
}

// sizeAxes lists the axes. The first is the number of daemons, whose levels are given by
// Options.Daemons.
var sizeAxes = []axis{
	{"daemons", func(s *Size) *int { return &s.Daemons }, nil, false},
	{"endpoints", func(s *Size) *int { return &s.Endpoints }, endpointLevels, false},
	{"accounts", func(s *Size) *int { return &s.Accounts }, accountLevels, false},
	{"pipelines", func(s *Size) *int { return &s.Pipelines }, pipelineLevels, false},
}

// inverseDaemons fits work that the daemons of a deployment share, such as that of
// lease holders: the share of each daemon shrinks as the number of daemons grows.
var inverseDaemons = axis{"1/daemons", func(s *Size) *int { return &s.Daemons }, nil, true}

// Line is a straight line fitted to one figure along one axis.
type Line struct {
	Axis      string  `json:"axis"`
	Figure    string  `json:"figure"`
	Points    int     `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root mean square deviation of the points from the line.
	Residual float64 `json:"residual"`
}

func (l Line) valueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// fitLine returns the least-squares line through the points. It needs points at two
// or more values of x.
func fitLine(x, y []float64) (Line, error) {
	if len(x) < 2 || stat.Variance(x, nil) == 0 {
		return Line{}, errors.Errorf("%d points with the same x value, want 2 or more different values", len(x))
	}
	l := Line{Points: len(x)}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for i := range x {
		d := y[i] - l.valueAt(x[i])
		sum += d * d
	}
	l.Residual = math.Sqrt(sum / float64(len(x)))
	return l, nil
}

// fitAxis fits a figure along an axis. It uses the rows whose sizes on all other axes
// are those of base.
func fitAxis(rows []Row, base Size, a axis, figure string) (Line, error) {
	var x, y []float64
	for _, r := range rows {
		s := r.Size
		*a.sizeField(&s) = *a.sizeField(&base)
		if s == base {
			x, y = append(x, a.value(r.Size)), append(y, r.Figures[figure])
		}
	}
	l, err := fitLine(x, y)
	l.Axis, l.Figure = a.name, figure
	return l, errors.Annotatef(err, "%s along %s", figure, a.name)
}

// extrapolate returns a figure at the target size: the value of the first line at the
// target, plus the changes along the other lines from base to the target. It assumes
// that the effects of the axes are additive.
func extrapolate(alongAxes []axis, lines []Line, base, target Size) float64 {
	total := lines[0].valueAt(alongAxes[0].value(target))
	for i, l := range lines[1:] {
		a := alongAxes[i+1]
		total += l.Slope * (a.value(target) - a.value(base))
	}
	return total
}
