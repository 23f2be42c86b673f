// Package backs knows the backend servers: which take work, which are leaving
// and which are gone.
//
// Entries that lapse while the store can't be reached say nothing of their
// servers, so they stay usable until a servers' own writes had time to bring
// them back.
package backs
