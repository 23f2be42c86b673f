// Package health weights backend servers by the results of recent calls to them.
package health
