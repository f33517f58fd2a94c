// Package report makes one page of a day's result: plots, tables and the numbers, in a single HTML file.
package report

import (
	"bytes"
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

// day is a result with the scene it was played from.
type day struct {
	Scene  *scenario.Scenario
	Result *sim.Result
}

// Write writes a page for the results of one scene, one for each seed.
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
		d := day{s, r}
		one := shown{Result: r}
		for _, p := range []struct {
			into *template.HTML
			draw func() (*plot.Plot, error)
		}{{&one.Value, d.value}, {&one.Held, d.held}, {&one.Heat, d.heat}} {
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
	return form.Execute(w, page)
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

func (d *day) plot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Y.Min, p.Legend.Top = 0, true
	return p
}

func (d *day) line(p *plot.Plot, name string, c color.Color, of func(s *sim.Second) float64) error {
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

// marks draws where troubles begin and end.
func (d *day) marks(p *plot.Plot, top float64) error {
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

func (d *day) value() (*plot.Plot, error) {
	p := d.plot("Value of the documents that came in each second", "value")
	if err := d.line(p, "offered", grey, func(s *sim.Second) float64 { return s.Offered }); err != nil {
		return nil, err
	}
	if err := d.line(p, "delivered", blue, func(s *sim.Second) float64 { return s.Delivered }); err != nil {
		return nil, err
	}
	return p, d.marks(p, p.Y.Max)
}

func (d *day) held() (*plot.Plot, error) {
	p := d.plot("Held, and calls in flight", "documents, calls")
	if err := d.line(p, "held", orange, func(s *sim.Second) float64 { return float64(s.Held) }); err != nil {
		return nil, err
	}
	if err := d.line(p, "in flight", blue, func(s *sim.Second) float64 { return float64(s.Out) }); err != nil {
		return nil, err
	}
	return p, d.marks(p, math.Max(1, p.Y.Max))
}

// heat is held by destination and second.
type heat struct{ seconds []sim.Second }

func (h heat) Dims() (c, r int)   { return len(h.seconds), len(h.seconds[0].ByDest) }
func (h heat) Z(c, r int) float64 { return math.Log1p(float64(h.seconds[c].ByDest[r])) }
func (h heat) X(c int) float64    { return float64(c) + 0.5 }
func (h heat) Y(r int) float64    { return float64(r) }

func (d *day) heat() (*plot.Plot, error) {
	if len(d.Result.Seconds) < 2 || len(d.Result.Seconds[0].ByDest) < 2 {
		return nil, nil
	}
	p := d.plot("Held by destination (darker: fewer; logarithmic)", "destination")
	p.Add(plotter.NewHeatMap(heat{d.Result.Seconds}, moreland.ExtendedBlackBody().Palette(64)))
	return p, nil
}

var form = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms":    func(x float64) string { return fmt.Sprintf("%.0f ms", x*1000) },
	"first": func(n int, b []string) []string { return b[:min(n, len(b))] },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Scene.Name}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
h1 { margin-bottom: 0 } h2 { margin-top: 2.5rem; border-top: 1px solid #ccc; padding-top: 1rem }
table { border-collapse: collapse; margin: 1rem 0 } td, th { padding: .2rem .9rem .2rem 0; text-align: left; vertical-align: top }
th { font-weight: 600 } .bad { color: #b02020 } svg { max-width: 100%; height: auto } pre { margin: 0; white-space: pre-wrap }
</style></head><body>
<h1>{{.Scene.Name}}</h1><p>{{.Scene.About}}</p>
<p>{{.Scene.Dispatch.Forwarders}} forwarders with {{.Scene.Dispatch.Slots}} slots, {{.Scene.Load.PerSecond}} documents a second for {{.Scene.Length}}. Simulated.</p>
{{if .Scene.Troubles}}<table><tr><th>trouble</th><th>from</th><th>for</th><th>destinations</th></tr>
{{range .Scene.Troubles}}<tr><td>{{.Kind}}</td><td>{{.At}}</td><td>{{.For}}</td><td>{{if .Dest}}{{.Dest}}{{else if .Part}}{{.Part}}{{else}}all{{end}}</td></tr>{{end}}</table>
<p>Dashed lines: red where a trouble begins, grey where it ends.</p>{{end}}
{{range .Days}}<h2>Seed {{.Result.Seed}}: {{share .Result.G}} of the value delivered</h2>
<table><tr><th>documents</th><th>served</th><th>late</th><th>turned away at the door</th><th>returned</th><th>abandoned</th><th>transmissions</th></tr>
<tr><td>{{.Result.Documents}}</td><td>{{.Result.Served}}</td><td>{{.Result.Late}}</td><td>{{.Result.Refused}}</td><td>{{index .Result.Finals "returned"}}</td><td>{{index .Result.Finals "abandoned"}}</td><td>{{.Result.Transmissions}}</td></tr></table>
<table><tr><th>time from the intended moment</th><td>p50 {{ms .Result.Latency.P50}}</td><td>p90 {{ms .Result.Latency.P90}}</td><td>p99 {{ms .Result.Latency.P99}}</td><td>most {{ms .Result.Latency.Max}}</td></tr></table>
{{.Value}}{{.Held}}{{.Heat}}
<table><tr><th>end of a transmission</th><th></th></tr>{{range $end, $n := .Result.Ends}}<tr><td>{{$end}}</td><td>{{$n}}</td></tr>{{end}}</table>
{{if .Result.Breaches}}<h3 class="bad">Rules broken</h3><table><tr><th>rule</th><th>at</th><th>what</th><th>history</th></tr>
{{range .Result.Breaches}}<tr><td>{{.Rule}}</td><td>{{share .At}}</td><td>{{.What}}</td><td><pre>{{range first 12 .History}}{{.}}
{{end}}</pre></td></tr>{{end}}</table>{{else}}<p>No rule broken.</p>{{end}}
{{end}}
<script type="application/json" id="numbers">{{.JSON}}</script>
</body></html>
`))
