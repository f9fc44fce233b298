// Command experiment compares the overload policy with the baselines and writes the
// table to the standard output and to a folder.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"comfreycart.dev/comfreycart/internal/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all randomness")
	workers := flag.Int("workers", 4, "runs at a time")
	only := flag.String("only", "", "run only scenarios whose name holds this")
	variants := flag.Bool("variants", false, "compare variants of the product's policy")
	policies := flag.String("policies", "", "compare only policies whose name holds this")
	out := flag.String("out", "out/experiment", "folder for the table and the plots")
	flag.Parse()
	compared := filterPolicies(experiment.Policies, *policies)
	if *variants {
		compared = filterPolicies(experiment.Variants, *policies)
	}
	rows := experiment.Run(experiment.Options{Seed: *seed, Workers: *workers, ScenarioFilter: *only, Policies: compared})
	fmt.Printf("seed %d\n", *seed)
	if err := write(*out, compared, rows); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// filterPolicies returns the policies whose name holds part.
func filterPolicies(all []experiment.Policy, part string) []experiment.Policy {
	var kept []experiment.Policy
	for _, p := range all {
		if strings.Contains(p.Name, part) {
			kept = append(kept, p)
		}
	}
	return kept
}

type writer func(w io.Writer, policies []experiment.Policy, rows []experiment.Row) error

func write(folder string, policies []experiment.Policy, rows []experiment.Row) error {
	if err := experiment.WriteMarkdown(os.Stdout, policies, rows); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if err := save(filepath.Join(folder, "table.md"), policies, rows, experiment.WriteMarkdown); err != nil {
		return err
	}
	if err := save(filepath.Join(folder, "table.csv"), policies, rows, experiment.WriteCSV); err != nil {
		return err
	}
	return experiment.WritePlots(folder, policies, rows)
}

func save(file string, policies []experiment.Policy, rows []experiment.Row, to writer) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := to(f, policies, rows); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
