// Package conf reads a node's own settings: one JSON file that tells a VM its
// name, addresses and failure domain, where the platform's services are, and
// the bounds on sizes and times. docs/SETTINGS.md lists every member with its
// default; a test keeps the two in step.
package conf
