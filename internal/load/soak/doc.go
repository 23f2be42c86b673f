// Package soak runs edge VMs as processes of their own before stand-ins of the
// platform, brings about failures from outside, and checks what clients and
// servers see against what was promised.
//
// Failures come in series and overlap: connections through a proxy that delays,
// resets, silences or cuts them, processes that are stopped, paused, killed and
// started again, servers that leave, crash, shed and are replaced, keys that
// are taken away, and a store that can't be reached.
package soak
