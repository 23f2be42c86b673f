// Package verify decides whether what arrived on a connection is the answer of the called server
// to an attempt.
//
// A faulty server may send anything, also what parses as a response, after it has run the call.
// A response that is not verified is treated like none: its status, body and header fields have
// no effect, and the call may have run.
package verify
