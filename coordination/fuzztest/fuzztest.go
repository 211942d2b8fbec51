// Package fuzztest runs a package's tests with fixed seeds, so that they give the
// same verdict every time, unless the command line names others.
package fuzztest

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Defaults are the settings of the stateful fuzzing in ordinary runs.
type Defaults struct {
	Seed, Checks int
	// Steps is the most actions of one check; 0 leaves the library's own.
	Steps int
}

// Main is the TestMain of a package that uses rapid. Flags such as -rapid.checks
// and -rapid.seed go before the defaults.
func Main(m *testing.M, d Defaults) {
	set("rapid.seed", d.Seed)
	set("rapid.checks", d.Checks)
	if d.Steps > 0 {
		set("rapid.steps", d.Steps)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func set(name string, value int) {
	if err := flag.Set(name, fmt.Sprint(value)); err != nil {
		panic(err)
	}
}
