package experiment

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 32 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter
	// legendHeadroom is the height of a plot over its highest bar.
	legendHeadroom = 1.3
)

// barColors are those of the policies, in their order.
var barColors = []color.Color{
	color.Gray{Y: 200}, color.Gray{Y: 150}, color.RGBA{R: 120, G: 170, B: 220, A: 255}, color.RGBA{R: 20, G: 90, B: 170, A: 255},
}

// chart holds the rows of one deployment and measure.
type chart struct {
	deployment, measure string
	rows                []Row
}

// WritePlots draws each measure in percent as bars by scenario, one SVG file a
// deployment and measure.
func WritePlots(folder string, policies []Policy, rows []Row) error {
	for _, c := range percentCharts(rows) {
		p, err := c.draw(policies)
		if err != nil {
			return err
		}
		name := strings.ReplaceAll(c.deployment+" "+c.measure, " ", "-") + ".svg"
		if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// percentCharts groups the rows whose values are all in percent.
func percentCharts(rows []Row) []*chart {
	var out []*chart
	at := map[[2]string]*chart{}
	for _, r := range rows {
		if _, ok := percents(r.Values); !ok {
			continue
		}
		key := [2]string{r.Deployment, r.Measure}
		if at[key] == nil {
			at[key] = &chart{deployment: r.Deployment, measure: r.Measure}
			out = append(out, at[key])
		}
		at[key].rows = append(at[key].rows, r)
	}
	return out
}

// percents parses values that all end in a percent sign.
func percents(values []string) ([]float64, bool) {
	var out []float64
	for _, v := range values {
		text, ok := strings.CutSuffix(v, "%")
		n, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			return nil, false
		}
		out = append(out, n)
	}
	return out, len(out) > 0
}

func (c *chart) draw(policies []Policy) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", c.deployment, c.measure)
	p.Y.Label.Text = "percent"
	p.Legend.Top = true
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(c.column(i), barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = barColors[i%len(barColors)]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Length(float64(i)-float64(len(policies)-1)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	p.NominalX(c.scenarios()...)
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -1
	p.X.Max += 0.5
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1) * legendHeadroom
	return p, nil
}

// column returns the values of one policy.
func (c *chart) column(policy int) plotter.Values {
	out := make(plotter.Values, len(c.rows))
	for i, r := range c.rows {
		values, _ := percents(r.Values)
		out[i] = values[policy]
	}
	return out
}

func (c *chart) scenarios() []string {
	out := make([]string, len(c.rows))
	for i, r := range c.rows {
		out[i] = r.Scenario
	}
	return out
}
