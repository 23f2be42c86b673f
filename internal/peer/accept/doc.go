// Package accept opens listeners whose connections hold a bounded part of the kernel's memory, and
// keeps listeners accepting while the process or its host has no descriptors or buffers left.
package accept
