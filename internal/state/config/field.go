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

// FieldError names the invalid member and the value that is expected there.
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

// Decode parses strict JSON into wire, a pointer to a struct. Its error is a
// FieldError with the path of the first invalid member.
func Decode(data []byte, wire any) error {
	err := json.Unmarshal(data, wire, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var sem *json.SemanticError
	if errors.As(err, &sem) {
		return trace.Wrap(&FieldError{Path: string(sem.JSONPointer), Want: describeSemantic(sem)})
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

func describeSemantic(e *json.SemanticError) string {
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

// Validator converts wire values into domain values and records the first error.
// For an invalid member its methods return the default, or the zero value if there
// is none.
type Validator struct {
	err *FieldError
}

// Err returns the first error, or nil.
func (v *Validator) Err() error {
	if v.err == nil {
		return nil
	}
	return trace.Wrap(v.err)
}

// Errorf records an error at a path, unless there is one already.
func (v *Validator) Errorf(path, format string, args ...any) {
	if v.err == nil {
		v.err = &FieldError{Path: path, Want: fmt.Sprintf(format, args...)}
	}
}

// Name validates a name.
func (v *Validator) Name(path, s string) string {
	if err := ident.CheckName(s); err != nil {
		v.Errorf(path, "%s", trace.UserMessage(err))
		return ""
	}
	return s
}

// Duration parses a duration such as "250ms" from low to high; def replaces an
// absent one.
func (v *Validator) Duration(path string, s *string, def, low, high time.Duration) time.Duration {
	if s == nil {
		return def
	}
	d, err := time.ParseDuration(*s)
	if err != nil || d < low || d > high {
		v.Errorf(path, "want a duration from %s to %s, such as \"250ms\", got %q", low, high, *s)
		return def
	}
	return d
}

// Int validates a whole number from low to high; def replaces an absent one.
func (v *Validator) Int(path string, n *int, def, low, high int) int {
	if n == nil {
		return def
	}
	if *n < low || *n > high {
		v.Errorf(path, "want a whole number from %d to %d, got %d", low, high, *n)
		return def
	}
	return *n
}

// Float validates a number from low to high; def replaces an absent one.
func (v *Validator) Float(path string, x *float64, def, low, high float64) float64 {
	if x == nil {
		return def
	}
	if !(*x >= low && *x <= high) {
		v.Errorf(path, "want a number from %g to %g, got %g", low, high, *x)
		return def
	}
	return *x
}

// Address parses an IP address with a port.
func (v *Validator) Address(path, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		v.Errorf(path, "want an IP address with a port, such as \"127.0.0.1:8080\", got %q", s)
		return netip.AddrPort{}
	}
	return a
}

// Hashes parses a list of key hashes.
func (v *Validator) Hashes(path string, list []string) []KeyHash {
	out := make([]KeyHash, 0, len(list))
	for i, s := range list {
		var h KeyHash
		raw, err := hex.DecodeString(s)
		if err != nil || len(raw) != len(h) {
			v.Errorf(fmt.Sprintf("%s/%d", path, i), "want the SHA-256 of a key as 64 hexadecimal digits")
			continue
		}
		copy(h[:], raw)
		out = append(out, h)
	}
	return out
}
