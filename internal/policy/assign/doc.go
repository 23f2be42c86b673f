// Package assign chooses the backend server for one call by the load of each
// server. Its functions depend only on their arguments.
package assign
