package tunnel

import "errors"

// Reasons why another VM opens no tunnel. Nothing was sent to the server.
var (
	ErrUnknownServer = errors.New("tunnel: the VM does not know the server")
	ErrNotAccepting  = errors.New("tunnel: the server accepts no new work")
	ErrBusy          = errors.New("tunnel: the VM carries no more tunnels")
	ErrCutOff        = errors.New("tunnel: the VM does not reach the server, perhaps because of its own links")
	ErrRefused       = errors.New("tunnel: the server refuses connections")
	ErrUnreachable   = errors.New("tunnel: the server is not reachable from the VM, and others are")
)

// reasons holds the names of the reasons in responses.
var reasons = map[string]error{
	"unknown-server": ErrUnknownServer,
	"not-accepting":  ErrNotAccepting,
	"busy":           ErrBusy,
	"cut-off":        ErrCutOff,
	"refused":        ErrRefused,
	"unreachable":    ErrUnreachable,
}

// reasonOf returns the name of the reason for err. Errors without a name of their own say
// nothing about the server.
func reasonOf(err error) string {
	for name, reason := range reasons {
		if errors.Is(err, reason) {
			return name
		}
	}
	return reasonOf(ErrCutOff)
}

// BlamesServer reports whether err says that the server, rather than a link, is down.
func BlamesServer(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrUnreachable)
}
