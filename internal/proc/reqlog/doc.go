// Package reqlog collects the log lines of one request from the logs of many VMs
// and sorts them by time, and explains the lines of refused calls.
//
// The clocks of VMs differ. Settings come into force on all VMs within about 50 ms
// of each other, so clock offsets are estimated from the times of those log lines.
package reqlog
