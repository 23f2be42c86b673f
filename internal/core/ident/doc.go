// Package ident defines the identifiers that the whole system shares and the
// one check that every name passes before it becomes part of a path.
//
// Names are written by operators; request and generation identifiers are
// UUIDs of version 7 (RFC 9562), so they sort by the time they were made.
package ident
