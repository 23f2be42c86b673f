// Package logger writes log lines at a bounded rate and never blocks the goroutines
// that log.
//
// Lines are queued for a single writer goroutine. If the output is not read, lines
// are dropped. Under load, routine lines of calls are dropped first, once less than
// half of the rate budget is left. A call that fails logs its dropped lines when it
// ends. The number of dropped lines is counted and logged.
package logger
