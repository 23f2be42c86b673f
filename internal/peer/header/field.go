package header

import (
	"bufio"
	"bytes"

	"github.com/gravitational/trace"
)

// awaitFields waits until r has buffered the field lines that start at an offset and the empty
// line that ends them, leaves them there, and returns the offset of their end. It returns an error
// as soon as a line cannot become one of a field section (RFC 9112, section 5).
func awaitFields(r *bufio.Reader, offset int) (int, error) {
	check := checkFieldLine
	for {
		line, err := awaitLine(r, offset, check)
		if err != nil {
			return 0, err
		}
		offset += len(line)
		if isEmptyLine(line) {
			return offset, nil
		}
		check = checkNextLine
	}
}

// isEmptyLine reports whether line, which ends with LF, holds nothing but its end.
func isEmptyLine(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// checkNextLine is checkFieldLine for lines after the first, which may continue the value of the
// line before (RFC 9112, section 5.2).
func checkNextLine(line []byte, whole bool) error {
	if isContinuation(line) {
		return nil
	}
	return checkFieldLine(line, whole)
}

func isContinuation(line []byte) bool { return len(line) > 0 && (line[0] == ' ' || line[0] == '\t') }

// checkFieldLine returns an error unless line is empty or begins with a field name and a colon.
// If it is not whole, it may be the start of such a line. Recipients differ in what they take a
// name with a blank for (RFC 9112, section 5.1), so that none is accepted.
func checkFieldLine(line []byte, whole bool) error {
	if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
		return nil
	}
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !isToken(name) || whole && !hasColon {
		return trace.BadParameter("no HTTP response: %q is no field", line[:min(len(line), maxQuotedBytes)])
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s []byte) bool {
	for _, c := range s {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(s) > 0
}

// tokenBytes holds the bytes of tokens.
var tokenBytes = func() (set [256]bool) {
	const (
		digits  = "0123456789"
		letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		symbols = "!#$%&'*+-.^_`|~"
	)
	for _, c := range []byte(digits + letters + symbols) {
		set[c] = true
	}
	return set
}()
