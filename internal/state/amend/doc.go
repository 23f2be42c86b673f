// Package amend accepts operators' changes to settings.
//
// A change is a compare-and-swap on the version its writer read, so of two
// operators who race, one gets a conflict. The stored value remembers its last
// changes by id: after a lost reply, reading it tells whether the change took
// effect, and sending the same change again can't apply it twice.
package amend
