// Package edit applies operators' changes to settings.
//
// A change is a compare-and-swap on the version that its author read, so if two
// operators change a document concurrently, one of them gets a conflict. The
// stored value contains the ids of its last changes: after a lost reply, reading
// the value shows whether the change took effect, and a retry can't apply it
// twice.
package edit
