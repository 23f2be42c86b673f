// Package httpc is an HTTP client that reports at which stage a request failed
// and how many of its bytes were written.
//
// It uses the HTTP codec of fasthttp, but not its client, because that retries
// requests, and may reuse a connection on which a response is still arriving.
// Here a connection serves one request at a time. It is reused only after the
// complete response was read, and is closed in every other case, so that a late
// response cannot be taken for that of a later request. No request is retried.
package httpc
