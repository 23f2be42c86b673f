// Package call defines a client's call: the request, the client's timeout and how often
// the call may be executed. It is independent of the wire protocol.
package call
