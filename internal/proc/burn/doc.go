// Package burn reports how fast each service uses up its error budget.
//
// An objective sets the share of events that must be good: requests without a
// long stall, streams without a preemption, tokens that arrived in time. The burn
// rate over a window is the share of bad events divided by the allowed share. At
// a burn rate of 1 the budget lasts exactly its period. A row alerts if the burn
// rate is high over both a long and a short window (Google, The Site Reliability
// Workbook, chapter 5). Reports of several VMs are merged by adding their counts,
// without loss of precision.
package burn
