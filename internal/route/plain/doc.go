// Package plain routes calls to the HTTP servers of plain services, which the
// workspaces run themselves. A call that must not be repeated is written only once: it
// is sent to another server only if nothing of it was written before. Other calls are
// retried on another server. All retries are within the retry budget.
package plain
