package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
)

// FieldError names the member at fault and what would be accepted there.
type FieldError struct {
	Path string // JSON pointer inside the document
	Want string
}

func (e *FieldError) Error() string {
	path := e.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s", path, e.Want)
}

// Decode reads strict JSON into wire, a pointer to a struct, and names the
// path of the first fault.
func Decode(data []byte, wire any) error {
	err := json.Unmarshal(data, wire, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		return trace.Wrap(&FieldError{Path: string(sem.JSONPointer), Want: semantic(sem)})
	}
	var syn *jsontext.SyntacticError
	if errors.As(err, &syn) {
		return trace.Wrap(&FieldError{
			Path: string(syn.JSONPointer),
			Want: fmt.Sprintf("not valid JSON at byte %d: %v", syn.ByteOffset, syn.Err),
		})
	}
	return trace.Wrap(&FieldError{Want: "not valid JSON: " + err.Error()})
}

func semantic(e *json.SemanticError) string {
	if errors.Is(e, json.ErrUnknownName) {
		return "unknown member; see the settings page for the members accepted here"
	}
	want := "another type"
	if e.GoType != nil {
		want = e.GoType.Kind().String()
	}
	if e.Err != nil {
		return fmt.Sprintf("want %s, got %s (%v)", want, e.JSONKind, e.Err)
	}
	return fmt.Sprintf("want %s, got %s", want, e.JSONKind)
}

// Fields collects the first fault found while wire values become domain
// values. Its methods return the zero value for a member at fault.
type Fields struct {
	err *FieldError
}

// Err returns the first fault, or nil.
func (f *Fields) Err() error {
	if f.err == nil {
		return nil
	}
	return trace.Wrap(f.err)
}

// Fault records a fault at a path.
func (f *Fields) Fault(path, format string, args ...any) {
	if f.err == nil {
		f.err = &FieldError{Path: path, Want: fmt.Sprintf(format, args...)}
	}
}

// Name checks a name.
func (f *Fields) Name(path, s string) string {
	if err := ident.CheckName(s); err != nil {
		f.Fault(path, "%s", trace.UserMessage(err))
		return ""
	}
	return s
}

// Duration reads a duration such as "250ms" between low and high; an absent
// one becomes def.
func (f *Fields) Duration(path string, s *string, def, low, high time.Duration) time.Duration {
	if s == nil {
		return def
	}
	d, err := time.ParseDuration(*s)
	if err != nil || d < low || d > high {
		f.Fault(path, "want a duration from %s to %s, such as \"250ms\", got %q", low, high, *s)
		return def
	}
	return d
}

// Int bounds a whole number; an absent one becomes def.
func (f *Fields) Int(path string, n *int, def, low, high int) int {
	if n == nil {
		return def
	}
	if *n < low || *n > high {
		f.Fault(path, "want a whole number from %d to %d, got %d", low, high, *n)
		return def
	}
	return *n
}

// Float bounds a number; an absent one becomes def.
func (f *Fields) Float(path string, x *float64, def, low, high float64) float64 {
	if x == nil {
		return def
	}
	if !(*x >= low && *x <= high) {
		f.Fault(path, "want a number from %g to %g, got %g", low, high, *x)
		return def
	}
	return *x
}

// Address reads an IP address with a port.
func (f *Fields) Address(path, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		f.Fault(path, "want an IP address with a port, such as \"127.0.0.1:8080\", got %q", s)
		return netip.AddrPort{}
	}
	return a
}

// Hashes reads a list of key hashes.
func (f *Fields) Hashes(path string, list []string) []KeyHash {
	out := make([]KeyHash, 0, len(list))
	for i, s := range list {
		var h KeyHash
		raw, err := hex.DecodeString(s)
		if err != nil || len(raw) != len(h) {
			f.Fault(fmt.Sprintf("%s/%d", path, i), "want the SHA-256 of a key as 64 hexadecimal digits")
			continue
		}
		copy(h[:], raw)
		out = append(out, h)
	}
	return out
}
