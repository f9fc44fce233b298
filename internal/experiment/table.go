package experiment

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// Row is one measure of one scenario under each policy.
type Row struct {
	Deployment, Scenario, Measure string
	Values                        []string
	// Target is the bound on the last value; empty if there is none.
	Target string
	// Met is whether the last value keeps the target; true without one.
	Met bool
}

// Options say what to run.
type Options struct {
	Seed uint64
	// Workers is the number of runs at a time.
	Workers int
	// ScenarioFilter keeps scenarios whose name holds it.
	ScenarioFilter string
	// Policies are compared, the product's own last.
	Policies []Policy
}

// Run plays all scenarios under all policies and returns the table.
func Run(o Options) []Row {
	type cell struct {
		d *deployment
		s Scenario
		m []Measures
	}
	var cells []*cell
	var wg sync.WaitGroup
	room := make(chan struct{}, max(1, o.Workers))
	for _, d := range []*deployment{&luntiang, &vysocina} {
		for _, s := range Scenarios {
			if !strings.Contains(s.Name, o.ScenarioFilter) {
				continue
			}
			c := &cell{d: d, s: s, m: make([]Measures, len(o.Policies))}
			cells = append(cells, c)
			for i, p := range o.Policies {
				wg.Add(1)
				go func() {
					defer wg.Done()
					room <- struct{}{}
					defer func() { <-room }()
					c.m[i] = runScenario(d, p, s, o.Seed)
				}()
			}
		}
	}
	wg.Wait()
	var rows []Row
	for _, c := range cells {
		rows = append(rows, rowsOf(c.d, c.s, c.m)...)
	}
	return rows
}

// measure names one column of Measures with its target.
type measure struct {
	name   string
	format   func(Measures) string
	target func(Scenario) string
	isMet    func(Measures) bool
}

func constantTarget(target string) func(Scenario) string {
	return func(Scenario) string { return target }
}

var measures = []measure{
	{"goodput", func(m Measures) string { return percent(m.Goodput) },
		func(s Scenario) string {
			if s.demand >= 2 {
				return ">= 95%"
			}
			return ""
		}, func(m Measures) bool { return m.Goodput >= 0.95 }},
	{"recovery", func(m Measures) string { return seconds(m.Recovery) }, constantTarget("<= 2s"),
		func(m Measures) bool { return m.Recovery <= 2*time.Second }},
	{"worst-served account", func(m Measures) string { return percent(m.WorstAccount) },
		func(s Scenario) string {
			if s.floodFactor > 0 {
				return ">= 98%"
			}
			return ""
		}, func(m Measures) bool { return m.WorstAccount >= 0.98 }},
	{"wrongful refusals", func(m Measures) string { return percent(m.WrongfulRefusals) }, constantTarget("< 0.1%"),
		func(m Measures) bool { return m.WrongfulRefusals < 0.001 }},
	{"wasted work", func(m Measures) string { return percent(m.WastedWork) }, constantTarget("< 2%"),
		func(m Measures) bool { return m.WastedWork < 0.02 }},
	{"confirmations shed out of order", func(m Measures) string { return fmt.Sprintf("%d of %d", m.CriticalInverted, m.CriticalShed) },
		constantTarget("0"), func(m Measures) bool { return m.CriticalInverted == 0 }},
}

func rowsOf(d *deployment, s Scenario, results []Measures) []Row {
	var rows []Row
	for _, x := range measures {
		r := Row{Deployment: d.name, Scenario: s.Name, Measure: x.name, Target: x.target(s), Met: true}
		for _, m := range results {
			r.Values = append(r.Values, x.format(m))
		}
		if r.Values[len(r.Values)-1] == "-" {
			continue
		}
		if r.Target != "" {
			r.Met = x.isMet(results[len(results)-1])
		}
		rows = append(rows, r)
	}
	return rows
}

func percent(x float64) string {
	if x < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*x)
}

func seconds(d time.Duration) string {
	switch d {
	case Undefined:
		return "-"
	case Never:
		return "never"
	}
	return fmt.Sprintf("%.2fs", d.Seconds())
}

// WriteMarkdown writes the table.
func WriteMarkdown(w io.Writer, policies []Policy, rows []Row) error {
	head := []string{"deployment", "scenario", "measure"}
	for _, p := range policies {
		head = append(head, p.Name)
	}
	head = append(head, "target", "met")
	if _, err := fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat("---|", len(head))); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(r.cells(), " | ")); err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes the table.
func WriteCSV(w io.Writer, _ []Policy, rows []Row) error {
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%s\n", strings.Join(quoted(r.cells()), ",")); err != nil {
			return err
		}
	}
	return nil
}

func quoted(cells []string) []string {
	out := make([]string, len(cells))
	for i, c := range cells {
		out[i] = `"` + c + `"`
	}
	return out
}

func (r Row) cells() []string {
	cells := append([]string{r.Deployment, r.Scenario, r.Measure}, r.Values...)
	met := ""
	switch {
	case r.Target == "":
	case r.Met:
		met = "yes"
	default:
		met = "NO"
	}
	return append(cells, r.Target, met)
}
