package ident

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// startSeparator separates the name of a server from its start time.
const startSeparator = "@"

// NewServer returns the identifier of one instance of the server with the given name. A
// restarted server has lost its state, so nothing that is known of an earlier instance
// applies to it. startTime is zero for a server that does not report it; such a server has a
// new name after each restart. The name must pass CheckServer.
func NewServer(name string, startTime time.Time) Server {
	if startTime.IsZero() {
		return Server(name)
	}
	return Server(name + startSeparator + strconv.FormatInt(startTime.UnixMilli(), 10))
}

// FirstInstance returns a lower bound, in string order, of the IDs of a server's instances
// that have a start time.
func FirstInstance(name string) Server { return Server(name + startSeparator) }

// CheckServer returns an error if s is not a valid name of a server. A name with the
// separator could be mistaken for an instance of another server.
func CheckServer(s string) error {
	if s == "" {
		return trace.BadParameter("the name of a server is missing")
	}
	if strings.Contains(s, startSeparator) {
		return trace.BadParameter("the name %.40q of a server has a %s", s, startSeparator)
	}
	return nil
}

// Name returns the server's name without the start time.
func (s Server) Name() string {
	name, _, _ := strings.Cut(string(s), startSeparator)
	return name
}

// StartTime returns the server's start time, or zero if the server does not report it.
func (s Server) StartTime() time.Time {
	_, text, _ := strings.Cut(string(s), startSeparator)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
