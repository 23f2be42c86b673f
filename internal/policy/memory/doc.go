// Package memory bounds the memory that the responses of servers take while a VM holds them.
package memory
