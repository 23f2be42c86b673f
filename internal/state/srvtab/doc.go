// Package srvtab tracks the backend servers: which accept new work, which are
// draining, and which are gone.
//
// An entry that expires while the store is unreachable does not mean that its
// server is gone, because the server could not renew it. Such a server stays
// usable until it has had time to write its entry again.
package srvtab
