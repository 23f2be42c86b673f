package ident

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// MaxNameLen is the maximum length of a name, in bytes.
const MaxNameLen = 63

type (
	// VM names a VM of the system.
	VM string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Region names a region, a group of failure domains near one another.
	Region string
	// Workspace names a workspace, the part of the settings that one team owns.
	Workspace string
	// Service names a service inside a workspace.
	Service string
	// Model names a model that backend servers of the platform serve.
	Model string
	// Server identifies one instance of a backend server, which is a model engine or a plain
	// server. A restart creates a new instance. See NewServer.
	Server string
	// Version names a version of the software that a backend server runs. Versions have no
	// order.
	Version string
	// Class names a priority class.
	Class string
	// Request identifies one request of a client.
	Request string
	// Generation identifies one execution of a request on one engine.
	Generation string
)

// CheckName returns an error if s is not a valid name. Names consist of lower-case letters,
// digits and hyphens, start and end with a letter or digit, and are at most MaxNameLen bytes
// long.
func CheckName(s string) error {
	if s == "" {
		return trace.BadParameter("a name is missing")
	}
	if len(s) > MaxNameLen {
		return trace.BadParameter("the name %.20q… is longer than %d bytes", s, MaxNameLen)
	}
	for i := range len(s) {
		inner := i > 0 && i < len(s)-1
		if !isNameByte(s[i], inner) {
			return trace.BadParameter("the name %s has %q at byte %d; names hold a-z, 0-9 and inner hyphens",
				strconv.Quote(s), s[i], i)
		}
	}
	return nil
}

func isNameByte(c byte, inner bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' && inner
	}
}

// NewRequest returns a new request identifier.
func NewRequest() Request {
	return Request(newUUID())
}

// NewGeneration returns a new generation identifier.
func NewGeneration() Generation {
	return Generation(newUUID())
}

func newUUID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// UUIDTime returns the creation time of a version 7 UUID, to the millisecond. It returns false
// if key is not a version 7 UUID in canonical form.
func UUIDTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || len(key) != 36 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
