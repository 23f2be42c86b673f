// Package pace measures how long model engines take per generated token. A Meter measures it for
// one stream, and a Table keeps the measurements of the engines of all services, from what the
// streams of all VMs report. Its functions take the time as an argument.
package pace
