package ident

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ExampleNewServer() {
	s := NewServer("i-7", time.UnixMilli(1700000000123))
	fmt.Println(s, s.Name(), s.StartTime().UnixMilli())
	// Output: i-7@1700000000123 i-7 1700000000123
}

func TestServerWithoutStartTime(t *testing.T) {
	s := NewServer("i-7", time.Time{})
	assert.Equal(t, s, Server("i-7"))
	assert.Equal(t, s.Name(), "i-7")
	assert.Assert(t, s.StartTime().IsZero())
}
