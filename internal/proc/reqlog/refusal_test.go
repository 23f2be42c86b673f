package reqlog

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// ExampleReadRefusals explains a line of a soak, as grep prints it.
func ExampleReadRefusals() {
	const line = `logs/vm-0.log:{"level":"warn","ts":"2026-12-04T04:03:14.859981839Z","logger":"calls","msg":"call ended","vm":"vm-0","request":"s5-c49-3","route":"stream","kind":"stream","service":"engines","status":503,"queued":"29.953115ms","sent":0,"reason":"no-room","ran":"no","detail":"no engine of service engines has room for 200 tokens within 500ms, 15 calls wait, 0 engines could not be reached; the call has priority 0, workspace team-key-3 got 28.8% of what was granted recently and has 5 calls that wait","retry-after":"1.32333789s"}`
	_, _ = ReadRefusals(strings.NewReader(line), func(r *Refusal) error {
		fmt.Println(r.Explain())
		return nil
	})
	// Output:
	// Call s5-c49-3 of kind stream to service engines by route stream was refused at VM vm-0 at 2026-12-04 04:03:14.859 UTC with status 503.
	// Every backend server of the service is full (reason no-room).
	// Limit: no engine had room for the 200 tokens of memory that the call needed within 500ms, the longest that it could wait. It was refused after 30ms, as it could not start in time and the places for late calls were taken.
	// Waiting: 15 calls of the service waited at its coordinator when this one came.
	// Priority: 0, which precedes the others but leaves them at least a quarter of the capacity.
	// Share: workspace team-key-3 got 28.8% of what was granted in the last second or so, and had 5 calls waiting when this one was refused.
	// The call did not run: it was sent to no server.
	// Its Retry-After was 1.323s.
}

// TestReadRefusals guards against lines that are explained wrongly or not at all: extracts, lines
// of other VM versions and those of calls that were not refused.
func TestReadRefusals(t *testing.T) {
	for line, want := range map[string]string{
		`* edge-kgn-d-2 call ended {"status":503,"queued":"732.504688ms","sent":0,"reason":"no-room","ran":"no","detail":"no engine of service culo38a has room for 5334 tokens within 728ms, 32 calls wait","retry-after":"1.696498287s"}`: "It was refused after 733ms.\nWaiting: 32 calls",
		`{"queued":"30ms","reason":"no-room","ran":"no","detail":"no engine of service e has room for 5 tokens within 700ms, 0 calls wait, 2 engines could not be reached"}`:                                                                "It was refused after 30ms.\nWaiting: no other call waited at the coordinator, or no coordinator responded and the VM decided alone.\nThe VM could not reach 2 of the engines",
		`{prefix} {"msg":"call ended","reason":"no-room","ran":"no","detail":"full"}`:                                                          "The VM says: full.",
		`{"msg":"call ended","reason":"of-a-later-version","ran":"no","sent":2}`:                                                               "does not know.\nThe call did not run: none of the servers that it was sent to (2)",
		`{"msg":"call ended","status":200,"reason":"server-died","ran":"partial","detail":"server e broke off"}`:                               "Call failed with status 200.\nThe backend server was lost (reason server-died).\nThe VM says: server e broke off.\nThe call ran in part",
		`{"msg":"call ended","status":504,"reason":"timed-out","ran":"maybe","detail":"no answer within the 3s allowed","retry-after":"soon"}`: "The limit is the timeout of the client or of the route, whichever is shorter.\nThe call may have run.\nThe client was given no time to retry after.",
		`{"msg":"call ended","status":200}`:                                         "",
		`{"msg":"attempt failed","reason":"no-room"}`:                               "",
		`* vm-1 no retry {"reason":"the same failure at two servers","status":503}`: "",
		`* vm-1 server gone {"server":"s","reason":"probe"}`:                        "",
		`not JSON {`: "",
		`{"msg":"call ended","reason":"caller-left","ran":"maybe","status":499`: "",
	} {
		var got []string
		others, err := ReadRefusals(strings.NewReader("\n"+line+"\n"), func(r *Refusal) error {
			got = append(got, r.Explain())
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, len(got)+others, 1, line)
		assert.Equal(t, len(got) == 1, want != "", line)
		assert.Assert(t, strings.Contains(strings.Join(got, ""), want), "%s\n%v", line, got)
	}
}
