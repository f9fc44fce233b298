// Package property runs a package's random schedules with a fixed, printed seed.
package property

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	// The flags that Main sets are rapid's.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all random schedules that no flag overrides.
const Seed = 20261204

// Options say how much is tried; 0 leaves rapid's own number.
type Options struct {
	// Checks is the number of schedules, Steps that of the steps in each.
	Checks, Steps int
}

// Main sets rapid's seed and runs the tests. Flags of the command line win.
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
