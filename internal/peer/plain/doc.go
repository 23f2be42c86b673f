// Package plain is a client for the HTTP servers of plain services, which belong
// to workspaces. A call is written at most once: the package never retries, and
// a call that is not retryable uses a new connection, because on a reused
// connection that the server has closed it would be uncertain whether the call
// ran.
package plain
