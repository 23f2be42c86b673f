// Package config defines the settings that operators write: the system document
// at /system and one document for each workspace at /workspaces/<name>. It
// contains their JSON form, their validation, and the immutable snapshot that
// each request uses throughout.
//
// Member names are in kebab-case. An unknown member, a wrong type or an
// invalid value is refused with the member's path (RFC 6901).
package config
