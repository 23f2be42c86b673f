// Package refuse defines why a request was not served, in a form that can be
// explained to the caller at once and decoded from its code weeks later with
// nothing stored.
//
// A code holds the reason, the limit that was met with the settings path and
// version that set it, the figures at that moment, when to come back, and
// whether any part of the request ran. It is sealed, so that a code that this
// system did not issue is told from one that it did.
package refuse
