// Package oper serves the operators: settings with compare-and-swap, their
// history, the state of this VM, the report on service-level burn, and
// draining. A team's key opens its own subtree alone; the system's operators'
// key opens all.
package oper
