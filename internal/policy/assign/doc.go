// Package assign chooses the backend server for one call from what is under way
// at each. It is pure: all it knows comes with the call.
package assign
