// Package conf reads the settings file of a VM: a JSON file with the VM's name,
// addresses and failure domain, the addresses of the platform's services, and
// limits on sizes and times. docs/SETTINGS.md lists every member with its
// default. Tests check that the page matches the code.
package conf
