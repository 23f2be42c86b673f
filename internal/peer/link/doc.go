// Package link carries one HTTP request over one connection and tells exactly
// how far it came.
//
// The HTTP codec is fasthttp's. Its client is not used, because it retries,
// and because it may give a connection back while an answer is still under
// way. Here a connection serves one request at a time, is kept only after the
// whole answer was read, and is closed in every other case, so that a late
// answer can't meet a later request. Nothing is ever sent twice.
package link
