package ident

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

func TestCheckName(t *testing.T) {
	for name, valid := range map[string]bool{
		"a":                               true,
		"proposals-2":                     true,
		strings.Repeat("a", MaxNameLen):   true,
		"":                                false,
		"-a":                              false,
		"a-":                              false,
		"A":                               false,
		"a/b":                             false,
		"..":                              false,
		"a b":                             false,
		strings.Repeat("a", MaxNameLen+1): false,
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, CheckName(name) == nil, valid)
		})
	}
}

func TestUUIDTime(t *testing.T) {
	before := time.Now().Truncate(time.Millisecond)
	id := uuid.Must(uuid.NewV7()).String()
	at, ok := UUIDTime(id)
	assert.Assert(t, ok)
	assert.Assert(t, !at.Before(before) && at.Before(before.Add(time.Second)))
	for _, other := range []string{"", "booking-1", uuid.NewString(), "{" + id + "}", strings.ReplaceAll(id, "-", "")} {
		_, ok := UUIDTime(other)
		assert.Assert(t, !ok, other)
	}
}

func FuzzCheckName(f *testing.F) {
	for _, s := range []string{"a", "../x", "a\x00", "ü"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if CheckName(s) == nil && strings.ContainsAny(s, "/.%\x00 ") {
			t.Fatalf("%q passed", s)
		}
	})
}
