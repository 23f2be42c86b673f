package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/gravitational/trace"
)

const (
	// MinSecret is the shortest secret accepted, in bytes.
	MinSecret = 16
	// MaxSecrets is the most secrets a ring holds.
	MaxSecrets = 2
	macSize    = 16
	// Overhead is how much longer a packet is than its data, in bytes.
	Overhead = 1 + macSize
	keySize  = 32
)

// ErrForged is returned for a seal that no secret of the ring made.
var ErrForged = &trace.AccessDeniedError{Message: "the seal was not made by this system or was altered"}

// Secret is one numbered secret of a ring.
type Secret struct {
	ID    uint8
	Bytes []byte
}

// Ring seals with its first secret and opens with any. It is immutable.
type Ring struct {
	keys []key
}

type key struct {
	id   uint8
	aead cipher.AEAD
	mac  []byte
}

// New makes a ring of one or two secrets with different identifiers.
func New(secrets []Secret) (*Ring, error) {
	if len(secrets) == 0 || len(secrets) > MaxSecrets {
		return nil, trace.BadParameter("a key ring holds 1 or %d secrets, not %d", MaxSecrets, len(secrets))
	}
	r := &Ring{}
	for _, s := range secrets {
		if r.find(s.ID) != nil {
			return nil, trace.BadParameter("two secrets share the identifier %d", s.ID)
		}
		k, err := newKey(s)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		r.keys = append(r.keys, k)
	}
	return r, nil
}

func newKey(s Secret) (key, error) {
	if len(s.Bytes) < MinSecret {
		return key{}, trace.BadParameter("secret %d is shorter than %d bytes", s.ID, MinSecret)
	}
	enc, err := hkdf.Key(sha256.New, s.Bytes, nil, "umberladder token", keySize)
	if err != nil {
		return key{}, trace.Wrap(err)
	}
	mac, err := hkdf.Key(sha256.New, s.Bytes, nil, "umberladder packet", keySize)
	if err != nil {
		return key{}, trace.Wrap(err)
	}
	block, err := aes.NewCipher(enc)
	if err != nil {
		return key{}, trace.Wrap(err)
	}
	aead, err := cipher.NewGCM(block)
	return key{id: s.ID, aead: aead, mac: mac}, trace.Wrap(err)
}

func (r *Ring) find(id uint8) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

// Token encrypts data for a purpose as base64url text.
func (r *Ring) Token(purpose string, data []byte) string {
	k := &r.keys[0]
	size := k.aead.NonceSize()
	out := make([]byte, 1+size, 1+size+len(data)+k.aead.Overhead())
	out[0] = k.id
	// crypto/rand.Read never returns an error (Go 1.24).
	_, _ = rand.Read(out[1:])
	out = k.aead.Seal(out, out[1:1+size], data, []byte(purpose))
	return base64.RawURLEncoding.EncodeToString(out)
}

// OpenToken decrypts what Token made for the same purpose.
func (r *Ring) OpenToken(purpose, token string) ([]byte, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) == 0 {
		return nil, trace.Wrap(ErrForged)
	}
	k := r.find(raw[0])
	if k == nil || len(raw) < 1+k.aead.NonceSize() {
		return nil, trace.Wrap(ErrForged)
	}
	nonce := raw[1 : 1+k.aead.NonceSize()]
	data, err := k.aead.Open(nil, nonce, raw[1+len(nonce):], []byte(purpose))
	if err != nil {
		return nil, trace.Wrap(ErrForged)
	}
	return data, nil
}

// Packet appends a key identifier, an authentication code and data to dst.
func (r *Ring) Packet(dst, data []byte) []byte {
	k := &r.keys[0]
	dst = append(dst, k.id)
	dst = append(dst, k.sum(data)...)
	return append(dst, data...)
}

// OpenPacket returns the data of a packet, a slice of p itself.
func (r *Ring) OpenPacket(p []byte) ([]byte, error) {
	if len(p) < 1+macSize {
		return nil, trace.Wrap(ErrForged)
	}
	k := r.find(p[0])
	if k == nil {
		return nil, trace.Wrap(ErrForged)
	}
	data := p[1+macSize:]
	if !hmac.Equal(p[1:1+macSize], k.sum(data)) {
		return nil, trace.Wrap(ErrForged)
	}
	return data, nil
}

func (k *key) sum(data []byte) []byte {
	h := hmac.New(sha256.New, k.mac)
	h.Write(data)
	return h.Sum(nil)[:macSize]
}
