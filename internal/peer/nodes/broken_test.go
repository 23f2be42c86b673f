package nodes

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/seal"
	"umberladder/internal/peer/proto"
	"umberladder/internal/test/canned"
)

// TestBrokenHead guards against responses with a broken head that are taken for another VM's: an
// empty body is a valid message, so that a claim would count as decided.
func TestBrokenHead(t *testing.T) {
	ring, err := seal.New([]seal.Secret{{ID: 1, Bytes: []byte("0123456789abcdef")}})
	assert.NilError(t, err)
	const (
		ok     = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
		length = "Content-Length: 0\r\n\r\n"
	)
	for name, tc := range map[string]struct {
		text  string
		sound bool
	}{
		"sound":                                 {text: ok + length, sound: true},
		"no reason phrase":                      {text: "HTTP/1.1 200\r\n" + length, sound: true},
		"an older version":                      {text: "HTTP/1.0 200 OK\r\n" + length, sound: true},
		"an interim response":                   {text: "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n" + ok + length, sound: true},
		"every character of a token":            {text: ok + "!#$%&'*+-.^_`|~09AZaz: x\r\n" + length, sound: true},
		"an empty value, blanks and colons":     {text: ok + "X-Note:\r\nX-Other: a b: c\xe9\r\n" + length, sound: true},
		"chunks":                                {text: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", sound: true},
		"status 000":                            {text: "HTTP/1.1 000 OK\r\n" + length},
		"status 600":                            {text: "HTTP/1.1 600 OK\r\n" + length},
		"status 999":                            {text: "HTTP/1.1 999 OK\r\n" + length},
		"a status of two digits":                {text: "HTTP/1.1 20 OK\r\n" + length},
		"another protocol":                      {text: "ICY 200 OK\r\n" + length},
		"a control byte in a name":              {text: ok + "X-\x01Note: a\r\n" + length},
		"a blank in a name":                     {text: ok + "X Note: a\r\n" + length},
		"a blank before a colon":                {text: ok + "X-Note : a\r\n" + length},
		"a blank in the name of a length":       {text: ok + "Content Length: 0\r\n\r\n"},
		"a blank in the name of a coding":       {text: ok + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
		"a blank in a name of an interim one":   {text: "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + ok + length},
		"two lengths":                           {text: ok + "Content-Length: 3\r\n" + length},
		"chunks that are not the last coding":   {text: ok + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"},
		"another coding before chunks":          {text: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		"an unexpected status, sound otherwise": {text: "HTTP/1.1 404 Not Found\r\n" + length},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewClientPool(ring, time.Second)
			defer pool.http.CloseIdleConnections()
			_, err := pool.Get(canned.Serve(t, tc.text)).Claim(t.Context(), &proto.ClaimRequest{})
			assert.Equal(t, err == nil, tc.sound, "%v", err)
		})
	}
}

// TestBrokenStatus guards against a status that no response has and that is returned as one.
func TestBrokenStatus(t *testing.T) {
	ring, err := seal.New([]seal.Secret{{ID: 1, Bytes: []byte("0123456789abcdef")}})
	assert.NilError(t, err)
	for status, sound := range map[string]bool{"000": false, "099": false, "600": false, "200": true, "503": true, "599": true} {
		t.Run(status, func(t *testing.T) {
			pool := NewClientPool(ring, time.Second)
			defer pool.http.CloseIdleConnections()
			addr := canned.Serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			resp, err := pool.http.Post("http://"+addr.String(), "text/plain", http.NoBody)
			assert.Equal(t, err == nil, sound, "%v", err)
			if err == nil {
				assert.NilError(t, resp.Body.Close())
			}
		})
	}
}
