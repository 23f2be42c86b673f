package check

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // declares the flags set below
)

// The seed of rapid is fixed, so that every run gives the same verdict; other
// seeds are tried with the flag -rapid.seed.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic("check: " + err.Error())
		}
	}
}

// Checks makes rapid draw n cases in this test, in place of its usual 100.
func Checks(t testing.TB, n int) {
	t.Helper()
	old := flag.Lookup("rapid.checks").Value.String()
	if old != "100" {
		return // asked for on the command line
	}
	set(t, strconv.Itoa(n))
	t.Cleanup(func() { set(t, old) })
}

func set(t testing.TB, n string) {
	t.Helper()
	if err := flag.Set("rapid.checks", n); err != nil {
		t.Fatal(err)
	}
}
