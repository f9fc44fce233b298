// Command experiment compares the overload policy with the baselines and writes the
// table to the standard output and to a folder.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"comfreycart.dev/comfreycart/internal/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all randomness")
	workers := flag.Int("workers", 4, "runs at a time")
	only := flag.String("only", "", "run only scenarios whose name holds this")
	out := flag.String("out", "out/experiment", "folder for the table")
	flag.Parse()
	rows := experiment.Run(experiment.Options{Seed: *seed, Workers: *workers, Only: *only})
	fmt.Printf("seed %d\n", *seed)
	if err := write(*out, rows); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func write(folder string, rows []experiment.Row) error {
	if err := experiment.WriteMarkdown(os.Stdout, rows); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if err := save(filepath.Join(folder, "table.md"), rows, experiment.WriteMarkdown); err != nil {
		return err
	}
	return save(filepath.Join(folder, "table.csv"), rows, experiment.WriteCSV)
}

func save(file string, rows []experiment.Row, to func(io.Writer, []experiment.Row) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := to(f, rows); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
