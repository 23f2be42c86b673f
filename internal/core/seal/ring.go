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
	// MinSecret is the minimum length of a secret, in bytes.
	MinSecret = 16
	// MaxSecrets is the maximum number of secrets of a key ring.
	MaxSecrets = 2
	macSize    = 16
	// Overhead is the number of bytes that SealPacket adds to the data.
	Overhead = 1 + macSize
	keySize  = 32
)

// ErrForged is returned for a token or packet that was not sealed with a secret of the key
// ring, or was modified.
var ErrForged = &trace.AccessDeniedError{Message: "the seal was not made by this system or was altered"}

// Secret is a secret of a key ring. Its ID is included in everything that is sealed with it.
type Secret struct {
	ID    uint8
	Bytes []byte
}

// KeyRing seals with its first secret and opens with any. It is immutable.
type KeyRing struct {
	keys []key
}

type key struct {
	id     uint8
	aead   cipher.AEAD
	macKey []byte
}

// New returns a key ring of one or two secrets with different identifiers.
func New(secrets []Secret) (*KeyRing, error) {
	if len(secrets) == 0 || len(secrets) > MaxSecrets {
		return nil, trace.BadParameter("a key ring holds 1 or %d secrets, not %d", MaxSecrets, len(secrets))
	}
	r := &KeyRing{}
	for _, s := range secrets {
		if r.keyByID(s.ID) != nil {
			return nil, trace.BadParameter("two secrets share the identifier %d", s.ID)
		}
		k, err := deriveKey(s)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		r.keys = append(r.keys, k)
	}
	return r, nil
}

func deriveKey(s Secret) (key, error) {
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
	return key{id: s.ID, aead: aead, macKey: mac}, trace.Wrap(err)
}

func (r *KeyRing) keyByID(id uint8) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

// SealToken encrypts data for a purpose and returns it as base64url text.
func (r *KeyRing) SealToken(purpose string, data []byte) string {
	k := &r.keys[0]
	size := k.aead.NonceSize()
	out := make([]byte, 1+size, 1+size+len(data)+k.aead.Overhead())
	out[0] = k.id
	// crypto/rand.Read never returns an error (Go 1.24).
	_, _ = rand.Read(out[1:])
	out = k.aead.Seal(out, out[1:1+size], data, []byte(purpose))
	return base64.RawURLEncoding.EncodeToString(out)
}

// OpenToken decrypts a token that SealToken created for the same purpose.
func (r *KeyRing) OpenToken(purpose, token string) ([]byte, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) == 0 {
		return nil, trace.Wrap(ErrForged)
	}
	k := r.keyByID(raw[0])
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

// SealPacket appends a key identifier, an authentication code and data to dst.
func (r *KeyRing) SealPacket(dst, data []byte) []byte {
	k := &r.keys[0]
	dst = append(dst, k.id)
	dst = append(dst, k.authCode(data)...)
	return append(dst, data...)
}

// OpenPacket verifies a packet and returns its data, a subslice of p.
func (r *KeyRing) OpenPacket(p []byte) ([]byte, error) {
	if len(p) < 1+macSize {
		return nil, trace.Wrap(ErrForged)
	}
	k := r.keyByID(p[0])
	if k == nil {
		return nil, trace.Wrap(ErrForged)
	}
	data := p[1+macSize:]
	if !hmac.Equal(p[1:1+macSize], k.authCode(data)) {
		return nil, trace.Wrap(ErrForged)
	}
	return data, nil
}

func (k *key) authCode(data []byte) []byte {
	h := hmac.New(sha256.New, k.macKey)
	h.Write(data)
	return h.Sum(nil)[:macSize]
}
