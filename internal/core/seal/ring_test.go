package seal

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func secret(id uint8, fill byte) Secret {
	b := make([]byte, MinSecret)
	for i := range b {
		b[i] = fill
	}
	return Secret{ID: id, Bytes: b}
}

func ring(t testing.TB, s ...Secret) *KeyRing {
	t.Helper()
	r, err := New(s)
	assert.NilError(t, err)
	return r
}

func TestNewInvalidSecrets(t *testing.T) {
	for name, s := range map[string][]Secret{
		"none":    nil,
		"three":   {secret(1, 1), secret(2, 2), secret(3, 3)},
		"same id": {secret(1, 1), secret(1, 2)},
		"short":   {{ID: 1, Bytes: []byte("short")}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(s)
			assert.Assert(t, err != nil)
		})
	}
}

func TestRotation(t *testing.T) {
	old, both := ring(t, secret(1, 1)), ring(t, secret(2, 2), secret(1, 1))
	next := ring(t, secret(2, 2))
	token, packet := old.SealToken("p", []byte("x")), old.SealPacket(nil, []byte("x"))
	t.Run("the second secret still opens", func(t *testing.T) {
		data, err := both.OpenToken("p", token)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "x")
		data, err = both.OpenPacket(packet)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "x")
	})
	t.Run("a removed secret does not open", func(t *testing.T) {
		_, err := next.OpenToken("p", token)
		assert.Assert(t, errors.Is(err, ErrForged))
		_, err = next.OpenPacket(packet)
		assert.Assert(t, errors.Is(err, ErrForged))
	})
	t.Run("a token does not open for another purpose", func(t *testing.T) {
		_, err := old.OpenToken("q", token)
		assert.Assert(t, errors.Is(err, ErrForged))
	})
}

func FuzzOpen(f *testing.F) {
	r := ring(f, secret(1, 1))
	good := r.SealPacket(nil, []byte("data"))
	f.Add(string(good), r.SealToken("p", []byte("data")))
	f.Add("", "AQ")
	f.Fuzz(func(t *testing.T, packet, token string) {
		if _, err := r.OpenPacket([]byte(packet)); err == nil && packet != string(good) {
			t.Fatalf("a packet was forged: %q", packet)
		}
		if data, err := r.OpenToken("p", token); err == nil && string(data) != "data" {
			t.Fatalf("a token was forged: %q", token)
		}
	})
}

func BenchmarkPacket(b *testing.B) {
	r := ring(b, secret(1, 1))
	data, dst := make([]byte, 150), make([]byte, 0, 200)
	b.ReportAllocs()
	for b.Loop() {
		dst = r.SealPacket(dst[:0], data)
	}
}
