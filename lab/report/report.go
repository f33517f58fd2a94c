// Package report renders the results of simulated runs as a single HTML file with plots, tables and the raw numbers.
package report

import (
	"bytes"
	_ "embed" // for the page's template
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

var (
	blue   = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	orange = color.RGBA{R: 0xd9, G: 0x7a, B: 0x14, A: 0xff}
	grey   = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff}
	red    = color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff}
)

// reportedRun is a result with its scenario.
type reportedRun struct {
	Scenario *scenario.Scenario
	Result   *sim.Result
}

// Write writes an HTML page for the results of one scenario, one result per seed. The page needs no other files.
func Write(w io.Writer, s *scenario.Scenario, results []*sim.Result) error {
	type runView struct {
		Result                  *sim.Result
		Value, Held, Heat, Ends template.HTML
	}
	page := struct {
		Scene *scenario.Scenario
		Days  []runView
		JSON  template.JS
	}{Scene: s}
	for _, r := range results {
		run := reportedRun{s, r}
		one := runView{Result: r}
		for _, p := range []struct {
			into *template.HTML
			draw func() (*plot.Plot, error)
		}{{&one.Value, run.valuePlot}, {&one.Held, run.heldPlot}, {&one.Heat, run.heatPlot}} {
			pl, err := p.draw()
			if err != nil {
				return err
			}
			if pl == nil {
				continue
			}
			if *p.into, err = svg(pl); err != nil {
				return err
			}
		}
		page.Days = append(page.Days, one)
	}
	numbers, err := json.Marshal(results)
	if err != nil {
		return err
	}
	page.JSON = template.JS(numbers)
	return renderedPage.Execute(w, page)
}

func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(24*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

func (run *reportedRun) plot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Y.Min, p.Legend.Top = 0, true
	return p
}

func (run *reportedRun) line(p *plot.Plot, name string, c color.Color, of func(s *sim.Second) float64) error {
	var points plotter.XYs
	for i := range run.Result.Seconds {
		points = append(points, plotter.XY{X: float64(i) + 0.5, Y: of(&run.Result.Seconds[i])})
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = c, vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// markFaults draws dashed lines where faults begin (red) and end (grey).
func (run *reportedRun) markFaults(p *plot.Plot, top float64) error {
	for _, f := range run.Scenario.Faults {
		for i, at := range []float64{float64(f.At), float64(f.At + f.For)} {
			l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
			if err != nil {
				return err
			}
			l.Color, l.Dashes = red, []vg.Length{vg.Points(4), vg.Points(3)}
			if i == 1 {
				l.Color = grey
			}
			p.Add(l)
		}
	}
	return nil
}

func (run *reportedRun) valuePlot() (*plot.Plot, error) {
	p := run.plot("Value of the messages that arrived in each second", "value")
	if err := run.line(p, "offered", grey, func(s *sim.Second) float64 { return s.Offered }); err != nil {
		return nil, err
	}
	if err := run.line(p, "delivered", blue, func(s *sim.Second) float64 { return s.Delivered }); err != nil {
		return nil, err
	}
	return p, run.markFaults(p, p.Y.Max)
}

func (run *reportedRun) heldPlot() (*plot.Plot, error) {
	p := run.plot("Messages held and calls in flight", "messages, calls")
	if err := run.line(p, "held", orange, func(s *sim.Second) float64 { return float64(s.Held) }); err != nil {
		return nil, err
	}
	if err := run.line(p, "in flight", blue, func(s *sim.Second) float64 { return float64(s.OpenCalls) }); err != nil {
		return nil, err
	}
	return p, run.markFaults(p, math.Max(1, p.Y.Max))
}

// heatGrid is the number of messages held by destination and second, as a plotter.GridXYZ. Its columns
// are seconds and its rows are destinations.
type heatGrid struct{ seconds []sim.Second }

// Dims returns the number of seconds and the number of destinations.
func (h heatGrid) Dims() (c, r int) { return len(h.seconds), len(h.seconds[0].HeldByDestination) }

// Z returns the colour value of a cell: the logarithm of one plus the messages held.
func (h heatGrid) Z(c, r int) float64 { return math.Log1p(float64(h.seconds[c].HeldByDestination[r])) }

// X returns the time in the middle of a second.
func (h heatGrid) X(c int) float64 { return float64(c) + 0.5 }

// Y returns the index of a destination.
func (h heatGrid) Y(r int) float64 { return float64(r) }

func (run *reportedRun) heatPlot() (*plot.Plot, error) {
	if len(run.Result.Seconds) < 2 || len(run.Result.Seconds[0].HeldByDestination) < 2 {
		return nil, nil
	}
	p := run.plot("Messages held by destination (logarithmic; darker means fewer)", "destination")
	p.Add(plotter.NewHeatMap(heatGrid{run.Result.Seconds}, moreland.ExtendedBlackBody().Palette(64)))
	return p, nil
}

// pageTemplate refers to fields of scenario.Scenario and sim.Result by name. Renaming one of them breaks the template
// when it is executed, not when it is compiled.
//
//go:embed page.html.tmpl
var pageTemplate string

var renderedPage = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms":    func(x float64) string { return fmt.Sprintf("%.0f ms", x*1000) },
	"first": func(n int, b []string) []string { return b[:min(n, len(b))] },
}).Parse(pageTemplate))
