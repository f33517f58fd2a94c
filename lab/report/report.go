// Package report makes one page of the results of a run: plots, tables and the numbers, in a single HTML file.
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

// reportedRun is a result with the scenario that was played.
type reportedRun struct {
	Scene  *scenario.Scenario
	Result *sim.Result
}

// Write writes a page for the results of one scenario, one for each seed. The page needs no other files.
func Write(w io.Writer, s *scenario.Scenario, results []*sim.Result) error {
	type shown struct {
		Result                  *sim.Result
		Value, Held, Heat, Ends template.HTML
	}
	page := struct {
		Scene *scenario.Scenario
		Days  []shown
		JSON  template.JS
	}{Scene: s}
	for _, r := range results {
		d := reportedRun{s, r}
		one := shown{Result: r}
		for _, p := range []struct {
			into *template.HTML
			draw func() (*plot.Plot, error)
		}{{&one.Value, d.valuePlot}, {&one.Held, d.heldPlot}, {&one.Heat, d.heatPlot}} {
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

func (d *reportedRun) plot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Y.Min, p.Legend.Top = 0, true
	return p
}

func (d *reportedRun) line(p *plot.Plot, name string, c color.Color, of func(s *sim.Second) float64) error {
	var points plotter.XYs
	for i := range d.Result.Seconds {
		points = append(points, plotter.XY{X: float64(i) + 0.5, Y: of(&d.Result.Seconds[i])})
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

// marks draws where faults begin and end.
func (d *reportedRun) marks(p *plot.Plot, top float64) error {
	for _, t := range d.Scene.Faults {
		for i, at := range []float64{float64(t.At), float64(t.At + t.For)} {
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

func (d *reportedRun) valuePlot() (*plot.Plot, error) {
	p := d.plot("Value of the documents that came in each second", "value")
	if err := d.line(p, "offered", grey, func(s *sim.Second) float64 { return s.Offered }); err != nil {
		return nil, err
	}
	if err := d.line(p, "delivered", blue, func(s *sim.Second) float64 { return s.Delivered }); err != nil {
		return nil, err
	}
	return p, d.marks(p, p.Y.Max)
}

func (d *reportedRun) heldPlot() (*plot.Plot, error) {
	p := d.plot("Held, and calls in flight", "documents, calls")
	if err := d.line(p, "held", orange, func(s *sim.Second) float64 { return float64(s.Held) }); err != nil {
		return nil, err
	}
	if err := d.line(p, "in flight", blue, func(s *sim.Second) float64 { return float64(s.OpenCalls) }); err != nil {
		return nil, err
	}
	return p, d.marks(p, math.Max(1, p.Y.Max))
}

// heat is the messages held by destination and second; it is a plotter.GridXYZ.
type heat struct{ seconds []sim.Second }

// Dims returns the numbers of seconds and of destinations.
func (h heat) Dims() (c, r int) { return len(h.seconds), len(h.seconds[0].HeldByDestination) }

// Z returns the colour value of a cell: the logarithm of the messages held, plus one.
func (h heat) Z(c, r int) float64 { return math.Log1p(float64(h.seconds[c].HeldByDestination[r])) }

// X returns the middle of a second.
func (h heat) X(c int) float64 { return float64(c) + 0.5 }

// Y returns the number of a destination.
func (h heat) Y(r int) float64 { return float64(r) }

func (d *reportedRun) heatPlot() (*plot.Plot, error) {
	if len(d.Result.Seconds) < 2 || len(d.Result.Seconds[0].HeldByDestination) < 2 {
		return nil, nil
	}
	p := d.plot("Held by destination (darker: fewer; logarithmic)", "destination")
	p.Add(plotter.NewHeatMap(heat{d.Result.Seconds}, moreland.ExtendedBlackBody().Palette(64)))
	return p, nil
}

// pageTemplate names fields of scenario.Scenario and sim.Result: a rename there has to be made here too.
//
//go:embed page.html.tmpl
var pageTemplate string

var renderedPage = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms":    func(x float64) string { return fmt.Sprintf("%.0f ms", x*1000) },
	"first": func(n int, b []string) []string { return b[:min(n, len(b))] },
}).Parse(pageTemplate))
