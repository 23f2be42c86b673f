// Package seal authenticates what leaves a VM and must come back unchanged:
// refusal codes, resume handles, datagrams and calls between VMs.
//
// A Ring holds one or two secrets. The first makes new seals, all open old
// ones, so that secrets are rotated with two valid at once. Tokens are
// encrypted and authenticated with AES-256-GCM; packets are authenticated
// with HMAC-SHA-256 cut to 16 bytes (RFC 2104, section 5).
package seal
