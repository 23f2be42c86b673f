package reject_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/policy/reject"
)

// TestStatements checks which of several statements holds, and how often changes are
// propagated.
func TestStatements(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for name, tc := range map[string]struct {
		apply   func(*reject.Tracker)
		want    int
		changes int
	}{
		"nothing stated": {apply: func(tr *reject.Tracker) { tr.Observe("s", 0, at(1), at(2)) }},
		"stated":         {apply: func(tr *reject.Tracker) { tr.Observe("s", 4, at(1), at(2)) }, want: 4, changes: 1},
		"stated twice": {apply: func(tr *reject.Tracker) {
			tr.Observe("s", 4, at(1), at(2))
			tr.Observe("s", 3, at(2), at(3))
		}, want: 3, changes: 1},
		"a response to an earlier request states nothing": {apply: func(tr *reject.Tracker) {
			tr.Observe("s", 4, at(1), at(2))
			tr.Observe("s", 0, at(1), at(3))
		}, want: 4, changes: 1},
		"ended": {apply: func(tr *reject.Tracker) {
			tr.Observe("s", 4, at(1), at(2))
			tr.Observe("s", 0, at(3), at(4))
		}, changes: 2},
		"an outdated report after the end": {apply: func(tr *reject.Tracker) {
			tr.Observe("s", 4, at(1), at(2))
			tr.Observe("s", 0, at(3), at(4))
			tr.Merge([]reject.Limit{{Service: "s", Rejections: 4, At: at(2)}}, at(5))
		}, changes: 2},
		"another VM's report":        {apply: func(tr *reject.Tracker) { tr.Merge([]reject.Limit{{Service: "s", Rejections: 9, At: at(2)}}, at(3)) }, want: 9, changes: 1},
		"a report from the future":   {apply: func(tr *reject.Tracker) { tr.Merge([]reject.Limit{{Service: "s", Rejections: 9, At: at(9)}}, at(3)) }},
		"a report without a name":    {apply: func(tr *reject.Tracker) { tr.Merge([]reject.Limit{{Rejections: 9, At: at(2)}}, at(3)) }},
		"stated for another service": {apply: func(tr *reject.Tracker) { tr.Observe("other", 4, at(1), at(2)) }, changes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			changes := 0
			tr := reject.New(func(reject.Limit) { changes++ })
			tc.apply(tr)
			assert.Equal(t, tr.Rejections("s", at(5)), tc.want)
			assert.Equal(t, changes, tc.changes)
			assert.Equal(t, tr.Rejections("s", at(60)), 0, "statements that are not confirmed expire")
		})
	}
}
