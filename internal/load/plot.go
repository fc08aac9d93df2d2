package load

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"eelgrassgrade/internal/core"
)

// rankColors holds the line colors, by rank.
var rankColors = [core.NumRanks]color.Color{
	color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff}, color.RGBA{R: 0x30, G: 0x60, B: 0xc0, A: 0xff}, color.RGBA{R: 0x70, G: 0x70, B: 0x70, A: 0xff},
}

// WritePlot writes a PNG plot of the attainment over time, with a line per rank.
func (r *Result) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = r.Scenario
	p.X.Label.Text = "time of arrival, s"
	p.Y.Label.Text = "answered in time, %"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for rank := range core.Rank(core.NumRanks) {
		var points plotter.XYs
		for i, s := range r.Series[rank.String()] {
			if s.Offered > 0 {
				points = append(points, plotter.XY{X: float64(i), Y: 100 * ratio(s.InTime, s.Offered)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = rankColors[rank], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(rank.String(), line)
	}
	return p.Save(8*vg.Inch, 4*vg.Inch, file)
}
