package source

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

var start = time.Unix(1_000_000, 0)

type response struct {
	at        time.Time
	reporting int
}

// TestBest guards against the use of outdated responses and of those that include too few VMs, and
// against reports to this VM that are ignored.
func TestBest(t *testing.T) {
	after := func(d time.Duration, reporting int) response { return response{start.Add(d), reporting} }
	for name, tc := range map[string]struct {
		coverage  float64
		responses map[ident.VM]response
		reporting int
		want      int // VMs of the chosen response; 0: the reports to this VM
	}{
		"nothing known":                      {coverage: 1},
		"the hub that includes the most VMs": {coverage: 1, responses: map[ident.VM]response{"a": after(0, 50), "b": after(1, 49)}, want: 50},
		"the latest that includes enough":    {coverage: 0.9, responses: map[ident.VM]response{"a": after(0, 50), "b": after(1, 45), "c": after(2, 44)}, want: 45},
		"an outdated response":               {coverage: 1, responses: map[ident.VM]response{"a": after(-1, 50), "b": after(0, 10)}, want: 10},
		"an outdated one needs no coverage":  {coverage: 0.9, responses: map[ident.VM]response{"a": after(-1, 50)}, reporting: 1},
		"as many reports to this VM":         {coverage: 1, responses: map[ident.VM]response{"a": after(0, 50)}, reporting: 50},
		"enough reports to this VM":          {coverage: 0.9, responses: map[ident.VM]response{"a": after(0, 50)}, reporting: 45},
		"too few reports to this VM":         {coverage: 0.9, responses: map[ident.VM]response{"a": after(0, 50)}, reporting: 44, want: 50},
		"hubs without traffic":               {coverage: 1, responses: map[ident.VM]response{"a": after(0, 0)}},
	} {
		t.Run(name, func(t *testing.T) {
			c := Choice[response]{TTL: time.Second, MinCoverage: tc.coverage, Of: func(r response) (time.Time, int) { return r.at, r.reporting }}
			got, ok := c.Best(tc.responses, tc.reporting, start.Add(time.Second))
			assert.Equal(t, got.reporting, tc.want)
			assert.Equal(t, ok, tc.want > 0)
		})
	}
}
