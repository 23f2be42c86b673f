// Package reach tracks which backend servers this VM reaches over its own links.
//
// A connection that fails says nothing about its cause: the server may be down, or the link
// to it may be cut. A server is cut off from this VM if another VM has connected to it since
// this VM could not.
package reach
