// Package config defines the settings that operators write: the system's own
// document at /system and one document for each workspace at
// /workspaces/<name>, their JSON form, their checks, and the immutable
// snapshot that a request reads from start to end.
//
// Documents use kebab-case members; an unknown member, a wrong type or an
// impossible value is rejected with the member's path (RFC 6901).
package config
