package check

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that are set below
)

// init fixes the seed of rapid, so that every run gives the same result. The
// flag -rapid.seed selects another seed.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic("check: " + err.Error())
		}
	}
}

// RapidChecks makes rapid run n cases in this test instead of its default of
// 100. A number set on the command line takes precedence.
func RapidChecks(t testing.TB, n int) {
	t.Helper()
	old := flag.Lookup("rapid.checks").Value.String()
	if old != "100" {
		return // set on the command line
	}
	setChecks(t, strconv.Itoa(n))
	t.Cleanup(func() { setChecks(t, old) })
}

func setChecks(t testing.TB, n string) {
	t.Helper()
	if err := flag.Set("rapid.checks", n); err != nil {
		t.Fatal(err)
	}
}
