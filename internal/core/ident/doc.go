// Package ident defines the identifiers of the system and validates names before they
// become part of a path.
//
// Names are chosen by operators. Request and generation identifiers are UUIDs of version 7
// (RFC 9562), which sort by their creation time.
package ident
