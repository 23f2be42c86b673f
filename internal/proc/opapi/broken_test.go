package opapi

import (
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/test/canned"
)

// TestBrokenHead guards against responses with a broken head that operators get as a VM's, and
// against sound ones that are rejected.
func TestBrokenHead(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\nETag: 7\r\n"
		length = "Content-Length: 2\r\n\r\n{}"
		chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	)
	for name, tc := range map[string]struct {
		text  string
		sound bool
	}{
		"a length":                              {text: ok + length, sound: true},
		"chunks":                                {text: ok + chunks + "\r\n", sound: true},
		"neither":                               {text: ok + "\r\n{}", sound: true},
		"no reason phrase":                      {text: "HTTP/1.1 200\r\nETag: 7\r\n" + length, sound: true},
		"an interim response":                   {text: "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n" + ok + length, sound: true},
		"every character of a token":            {text: ok + "!#$%&'*+-.^_`|~09AZaz: x\r\n" + length, sound: true},
		"an empty value, blanks and colons":     {text: ok + "X-Note:\r\nX-Other: a b: c\xe9\r\n" + length, sound: true},
		"the same length twice":                 {text: ok + "Content-Length: 2\r\n" + length, sound: true},
		"status 000":                            {text: "HTTP/1.1 000 OK\r\n" + length},
		"status 099":                            {text: "HTTP/1.1 099 OK\r\n" + length},
		"status 600":                            {text: "HTTP/1.1 600 OK\r\n" + length},
		"a status of two digits":                {text: "HTTP/1.1 20 OK\r\n" + length},
		"another protocol":                      {text: "ICY 200 OK\r\n" + length},
		"a word and a number":                   {text: "job 200 done\r\n" + length},
		"a control byte in a name":              {text: ok + "X-\x01Note: a\r\n" + length},
		"a blank in a name":                     {text: ok + "X Note: a\r\n" + length},
		"a blank before a colon":                {text: ok + "X-Note : a\r\n" + length},
		"a blank in the name of a length":       {text: ok + "Content Length: 2\r\n\r\n{}"},
		"a blank in the name of a coding":       {text: ok + "Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		"a blank in a name of an interim one":   {text: "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + ok + length},
		"a blank in a name of the trailer":      {text: ok + chunks + "X Note: a\r\n\r\n"},
		"two lengths":                           {text: ok + "Content-Length: 9\r\n" + length},
		"chunks that are not the last coding":   {text: ok + "Transfer-Encoding: chunked, identity\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		"another coding before chunks":          {text: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		"a body that is shorter than it states": {text: ok + "Content-Length: 9\r\n\r\n{}"},
	} {
		t.Run(name, func(t *testing.T) {
			client := &Client{Address: canned.Serve(t, tc.text).String()}
			resp, err := client.Get("/status")
			assert.Equal(t, err == nil, tc.sound, "%v", err)
			if tc.sound {
				assert.Equal(t, string(resp.Body), "{}")
				assert.Equal(t, resp.ETag, "7")
			}
			_, err = client.Call("PUT", "/settings", []byte("{}"), "If-Match", "7")
			assert.Equal(t, err == nil, tc.sound, "%v", err)
		})
	}
}
