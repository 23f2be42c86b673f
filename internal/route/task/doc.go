// Package task holds the state that is shared by all ways to serve one call: the
// call, the dependencies to serve it with, and the result so far.
package task
