// Package crowd tests VMs, which run as processes, against crowds of clients that hold memory and
// connections. It checks that the process lives, that its memory and its open descriptors stay
// under a bound, and that ordinary requests are answered. It checks no times.
package crowd
