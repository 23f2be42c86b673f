// Package sink writes log lines without ever holding up those who log, and at
// a bounded rate.
//
// Lines wait in a queue for one writer; a reader that stops reading costs
// lines, not time. Under load the routine lines of calls go first: below half
// of the budget they are declined, and a call that fails writes its declined
// lines at its end. What was left out is counted and told.
package sink
