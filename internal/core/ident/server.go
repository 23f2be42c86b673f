package ident

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// bornMark parts the name of a server from the moment of its start.
const bornMark = "@"

// NewServer returns the identity of one start of the server of a name. A server
// that starts again under its name holds nothing of before, so that nothing
// known of the earlier start holds for it. A server that does not tell when it
// started has a new name with each start; born is zero then. The name has to
// pass CheckServer.
func NewServer(name string, born time.Time) Server {
	if born.IsZero() {
		return Server(name)
	}
	return Server(name + bornMark + strconv.FormatInt(born.UnixMilli(), 10))
}

// CheckServer reports why s can't be the name of a server: it would be taken for
// one start of another.
func CheckServer(s string) error {
	if s == "" {
		return trace.BadParameter("the name of a server is missing")
	}
	if strings.Contains(s, bornMark) {
		return trace.BadParameter("the name %.40q of a server has a %s", s, bornMark)
	}
	return nil
}

// Name returns the name that the server has in all its starts.
func (s Server) Name() string {
	name, _, _ := strings.Cut(string(s), bornMark)
	return name
}

// Born returns the moment of the start, zero if the server does not tell it.
func (s Server) Born() time.Time {
	_, text, _ := strings.Cut(string(s), bornMark)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
