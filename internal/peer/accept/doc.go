// Package accept opens listeners whose connections hold a bounded part of the kernel's memory.
package accept
