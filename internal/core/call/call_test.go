package call_test

import (
	"fmt"

	"umberladder/internal/core/call"
)

func ExampleCall_Fingerprint() {
	first := &call.Call{ID: "a", Key: "old-key", Method: "POST", Host: "h", Target: "/x", Body: []byte("draft")}
	retry := &call.Call{ID: "b", Key: "new-key", Method: "POST", Host: "h", Target: "/x", Body: []byte("draft")}
	other := &call.Call{ID: "c", Key: "new-key", Method: "POST", Host: "h", Target: "/x", Body: []byte("another")}
	fmt.Println(first.Fingerprint("team") == retry.Fingerprint("team"))
	fmt.Println(first.Fingerprint("team") == first.Fingerprint("others"))
	fmt.Println(first.Fingerprint("team") == other.Fingerprint("team"))
	// Output:
	// true
	// false
	// false
}
