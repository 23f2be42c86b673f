package ident

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// MaxName is the longest name accepted, in bytes.
const MaxName = 63

type (
	// VM names one entry VM.
	VM string
	// Domain names a failure domain.
	Domain string
	// Workspace names a workspace, the part of the settings one team owns.
	Workspace string
	// Service names a service inside a workspace.
	Service string
	// Model names a model that backend servers of the platform serve.
	Model string
	// Server identifies one start of a backend server, a model engine or a plain
	// server; see NewServer.
	Server string
	// Class names a priority class.
	Class string
	// Request identifies one request of a caller.
	Request string
	// Generation identifies one run of a request on one engine.
	Generation string
)

// CheckName reports why s can't be a name: names hold lower-case letters,
// digits and inner hyphens, start with a letter or digit, and are at most
// MaxName bytes long.
func CheckName(s string) error {
	if s == "" {
		return trace.BadParameter("a name is missing")
	}
	if len(s) > MaxName {
		return trace.BadParameter("the name %.20q… is longer than %d bytes", s, MaxName)
	}
	for i := range len(s) {
		inner := i > 0 && i < len(s)-1
		if !nameByte(s[i], inner) {
			return trace.BadParameter("the name %s has %q at byte %d; names hold a-z, 0-9 and inner hyphens",
				strconv.Quote(s), s[i], i)
		}
	}
	return nil
}

func nameByte(c byte, inner bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' && inner
	}
}

// NewRequest makes a request identifier.
func NewRequest() Request {
	return Request(newID())
}

// NewGeneration makes a generation identifier.
func NewGeneration() Generation {
	return Generation(newID())
}

func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// Minted returns the time inside a version 7 UUID, to the millisecond.
// It is false for any other text.
func Minted(key string) (time.Time, bool) {
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
