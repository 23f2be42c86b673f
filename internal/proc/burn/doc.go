// Package burn reports how fast each service uses up its error budget.
//
// An objective says which share of events must be good: requests without a
// long stall, streams without a preemption, tokens that came in time. The burn
// rate over a window is the share of bad events over the share allowed; at
// rate 1 the budget lasts just its period. A row alerts if a long and a short
// window both burn fast (Google, The Site Reliability Workbook, chapter 5).
// Counts of several VMs add up, so reports merge without loss.
package burn
