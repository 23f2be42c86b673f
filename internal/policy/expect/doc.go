// Package expect tracks how long calls take, as a bound for those to come.
package expect
