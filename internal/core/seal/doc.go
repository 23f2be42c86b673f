// Package seal authenticates data that leaves a VM and must return or arrive unmodified:
// refusal codes, resume handles, datagrams and calls between VMs.
//
// A KeyRing holds one or two secrets. Data is sealed with the first secret and opened with
// any of them, so that secrets can be rotated while two are valid. Tokens are encrypted and
// authenticated with AES-256-GCM. Packets are authenticated with HMAC-SHA-256 truncated to
// 16 bytes (RFC 2104, section 5).
package seal
