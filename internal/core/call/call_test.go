package call_test

import (
	"fmt"

	"umberladder/internal/core/call"
)

func ExampleCall_Fingerprint() {
	first := &call.Call{ID: "a", APIKey: "old-key", Method: "POST", Host: "h", Target: "/x", Body: []byte("draft")}
	retry := &call.Call{ID: "b", APIKey: "new-key", Method: "POST", Host: "h", Target: "/x", Body: []byte("draft")}
	other := &call.Call{ID: "c", APIKey: "new-key", Method: "POST", Host: "h", Target: "/x", Body: []byte("another")}
	fmt.Println(first.Fingerprint("team") == retry.Fingerprint("team"))
	fmt.Println(first.Fingerprint("team") == first.Fingerprint("others"))
	fmt.Println(first.Fingerprint("team") == other.Fingerprint("team"))
	// Output:
	// true
	// false
	// false
}
