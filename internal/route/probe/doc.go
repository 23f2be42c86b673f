// Package probe asks engines themselves whether they leave while the store
// can't tell.
//
// In an outage of the store nobody reads the notice of an engine that leaves,
// and all its streams are lost with it. An engine also says of itself that it
// leaves, as of half a second ago, which is early enough for most of its
// streams. One VM asks for all, and only while no VM hears the store.
package probe
