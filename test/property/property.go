// Package property runs the property-based tests of a package with a fixed seed, which it
// prints.
package property

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	// Imported for the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Seed is the default seed of the random schedules; the flag -rapid.seed overrides it.
const Seed = 20261204

// Options set how much is tested; 0 keeps rapid's default.
type Options struct {
	// Checks is the number of random schedules, Steps the average number of steps in each.
	Checks, Steps int
}

// Main sets rapid's seed and options, runs the tests and exits. Flags on the command line
// override them.
func Main(m *testing.M, o Options) {
	setFlag("rapid.seed", Seed)
	setFlag("rapid.checks", o.Checks)
	setFlag("rapid.steps", o.Steps)
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

func setFlag(name string, value int) {
	if value != 0 {
		_ = flag.Set(name, strconv.Itoa(value))
	}
}
