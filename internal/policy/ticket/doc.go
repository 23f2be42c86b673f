// Package ticket decides when calls that were refused for lack of capacity may retry, and which
// retries have a place of their own.
//
// A Book holds one ticket for each such call. Tickets become due one after the other, at the rate
// of the capacity that is set aside for retries, so that the calls don't all return at once. A call
// that returns before its ticket is due keeps the ticket and gains nothing. A ticket expires if it
// is not used.
package ticket
