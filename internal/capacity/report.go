package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// result is the content of the results file.
type result struct {
	options     Options
	At          time.Time `json:"at"`
	Processors  int       `json:"processors"`
	Window      string    `json:"window"`
	DataCenters int       `json:"data_centers"`
	Pools       int       `json:"pools"`
	Rows        []Row     `json:"rows"`
	Lines       []Line    `json:"lines"`
	// Target is the size to which the figures are extrapolated.
	Target       Size               `json:"target"`
	Extrapolated map[string]float64 `json:"extrapolated"`
	// ExtrapolatedInverse holds the figures extrapolated with the line along 1/daemons
	// instead of the one along daemons.
	ExtrapolatedInverse map[string]float64 `json:"extrapolated_inverse"`
}

// column is a column of the table of measured figures.
type column struct{ figure, title string }

// columns lists the figures of the tables. Only the first fittedColumns are fitted:
// the calls to the platform's services follow from the intervals in section 3.1 of
// docs/design.md and do not grow linearly.
var columns = []column{
	{figureCPU, "CPU, cores"},
	{figureMemory, "memory, MB"},
	{figureMsgsOut, "messages out/s"},
	{figureMsgsIn, "messages in/s"},
	{figureBytesOut, "payload out, B/s"},
	{figureBytesIn, "payload in, B/s"},
	{figureHeadersIn, "headers in, B/s"},
	{figureTable, "table calls/s"},
	{figureObjects, "object calls/s"},
	{figureInstances, "instance list calls/s"},
}

const fittedColumns = 7

// fit fits the lines and sets the extrapolated figures.
func (r *result) fit(base Size) error {
	r.Processors, r.Target, r.Extrapolated = runtime.NumCPU(), designScale, map[string]float64{}
	r.ExtrapolatedInverse = map[string]float64{}
	for _, c := range columns[:fittedColumns] {
		for _, f := range []struct {
			first   axis
			figures map[string]float64
		}{{sizeAxes[0], r.Extrapolated}, {inverseDaemons, r.ExtrapolatedInverse}} {
			alongAxes := append([]axis{f.first}, sizeAxes[1:]...)
			lines, err := fitAxes(r.Rows, base, alongAxes, c.figure)
			if err != nil {
				return err
			}
			f.figures[c.figure] = extrapolate(alongAxes, lines, base, designScale)
			if f.first.inverse {
				// The lines along the other axes were added with sizeAxes[0].
				lines = lines[:1]
			}
			r.Lines = append(r.Lines, lines...)
		}
	}
	return nil
}

// fitAxes fits a figure along each of the axes.
func fitAxes(rows []Row, base Size, alongAxes []axis, figure string) ([]Line, error) {
	var lines []Line
	for _, a := range alongAxes {
		l, err := fitAxis(rows, base, a, figure)
		if err != nil {
			return nil, err
		}
		lines = append(lines, l)
	}
	return lines, nil
}

func (r *result) write(file string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

const methodNotes = `Figures are means over the daemons of a deployment. Where each daemon is read separately, the highest value of any
daemon follows in brackets. No caller sends requests. Peer bytes come from grpc's stats handler: the payload is the
wire length of messages after compression, the headers are the wire length of received HTTP/2 header and trailer
blocks (grpc reports none for sent ones, but summed over all daemons both are equal). HTTP/2 frame headers, other
HTTP/2 frames, TCP and IP headers, acknowledgements, and the traffic with endpoints and the platform's services are
not counted. The loopback interface adds no delay and no loss.

`

// print writes the markdown tables to w.
func (r *result) print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d processors, window %s, %d data centres, %d pools.\n\n%s", r.At.Format(time.RFC3339), r.Processors, r.Window, r.DataCenters, r.Pools, methodNotes)
	b.WriteString("## Measured, per daemon\n\n| daemons | endpoints | accounts | pipelines |")
	for _, c := range columns {
		b.WriteString(" " + c.title + " |")
	}
	b.WriteString(" load average |\n" + strings.Repeat("|---", len(columns)+5) + "|\n")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "| %d | %d | %d | %d |", row.Daemons, row.Endpoints, row.Accounts, row.Pipelines)
		for _, c := range columns {
			fmt.Fprintf(&b, " %.3g", row.Figures[c.figure])
			if v, ok := row.Largest[c.figure]; ok {
				fmt.Fprintf(&b, " (%.3g)", v)
			}
			b.WriteString(" |")
		}
		fmt.Fprintf(&b, " %s |\n", row.LoadAverage)
	}
	r.printPropagation(&b)
	r.printLines(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *result) printPropagation(b *strings.Builder) {
	fmt.Fprintf(b, "\n## Time until a configuration with %d accounts is in force\n\n", designScale.Accounts)
	b.WriteString("The time to the last daemon runs from the response to the operator until `eelgrass_config_version` shows the\n" +
		"version. It is an upper bound, since it includes the concurrent reading of /metrics of all daemons.\n\n" +
		"| daemons | endpoints | accounts before | pipelines | request to answer, ms | answer to last daemon, ms |\n|---|---|---|---|---|---|\n")
	for _, row := range r.Rows {
		fmt.Fprintf(b, "| %d | %d | %d | %d | %.0f | %.0f |\n", row.Daemons, row.Endpoints, row.Accounts, row.Pipelines, 1000*row.Propagation.AcceptS, 1000*row.Propagation.LastS)
	}
}

func (r *result) printLines(b *strings.Builder) {
	b.WriteString("\n## Straight lines\n\nThe residual is the root mean square deviation of the points from the line; there is none with two points.\n\n" +
		"| figure | along | points | intercept | slope | residual |\n|---|---|---|---|---|---|\n")
	titles := map[string]string{}
	for _, c := range columns {
		titles[c.figure] = c.title
	}
	for _, l := range r.Lines {
		residual := fmt.Sprintf("%.2g", l.Residual)
		if l.Points == 2 {
			residual = "none"
		}
		fmt.Fprintf(b, "| %s | %s | %d | %.4g | %.3g | %s |\n", titles[l.Figure], l.Axis, l.Points, l.Intercept, l.Slope, residual)
	}
	fmt.Fprintf(b, "\n## Extrapolated to %d daemons, %d endpoints, %d accounts, %d pipelines, per daemon\n\n", r.Target.Daemons, r.Target.Endpoints, r.Target.Accounts, r.Target.Pipelines)
	b.WriteString("Each figure is the value of the line along daemons at the target, plus the changes along the lines for endpoints,\n" +
		"accounts and pipelines from the base size to the target. This assumes that the effects of the sizes are additive\n" +
		"and that the lines continue beyond the measured range. They do not where a limit takes effect, such as that on\n" +
		"connections per pool, or where an interval depends on the number of daemons. The line along 1/daemons fits work\n" +
		"that the daemons share, such as leases; a figure below zero shows that a line is not valid at the target.\n" +
		"Section 1.3 of the design allows 0.039 cores, 64 MB and 20,000 B/s, with caller traffic.\n\n" +
		"| figure | with the line along daemons | with the line along 1/daemons |\n|---|---|---|\n")
	for _, c := range columns[:fittedColumns] {
		fmt.Fprintf(b, "| %s | %.3g | %.3g |\n", c.title, r.Extrapolated[c.figure], r.ExtrapolatedInverse[c.figure])
	}
}
