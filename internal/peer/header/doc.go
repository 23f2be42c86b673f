// Package header decides what is an HTTP response. It reads the header and the trailer of responses
// into the types of fasthttp, whose codec by itself accepts what no recipient may take for a
// response, or what recipients take for different ones.
//
// What it rejects is no response: its status, fields and body have no effect, and the request may
// have run.
package header
