package header

import (
	"net/http"

	"github.com/gravitational/trace"
)

// CheckResponse returns an error if the standard library has read a response whose status line or
// field names Read rejects. The library takes any three digits for a status, and blanks for a part
// of a field name. It rejects several lengths and other transfer codings than chunks.
func CheckResponse(resp *http.Response) error {
	if err := checkStatusLine([]byte(resp.Proto+" "+resp.Status), true); err != nil {
		return err
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error unless the names of fields that the standard library has read are
// tokens.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !isToken([]byte(name)) {
			return trace.BadParameter("no HTTP response: %q is no field name", name[:min(len(name), maxQuotedBytes)])
		}
	}
	return nil
}
