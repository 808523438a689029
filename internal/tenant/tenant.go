// Package tenant knows the customers whose callers bring API keys, and finds the one that a key
// belongs to. Keys are kept as digests alone, so that neither a dump of a process's memory nor
// the time of a comparison gives one away.
package tenant

import (
	"crypto/sha256"
	"strings"
)

// Digest is the SHA-256 hash of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest { return sha256.Sum256(key) }

// Keys finds the owner of an API key. It is filled before it is used, and not changed then.
type Keys[T any] struct {
	owners map[Digest]T
}

// Add gives a key to an owner.
func (k *Keys[T]) Add(digest Digest, owner T) {
	if k.owners == nil {
		k.owners = map[Digest]T{}
	}
	k.owners[digest] = owner
}

// Find returns the owner of a key. Its time depends on digests alone: of these, nobody can
// choose one bit by bit without inverting the hash.
func (k *Keys[T]) Find(key []byte) (owner T, found bool) {
	digest := DigestOf(key)
	owner, found = k.owners[digest]
	return owner, found
}

const scheme = "bearer"

// BearerKey returns the key of an Authorization field (RFC 6750, section 2.1), empty if it holds
// none.
func BearerKey(authorization string) string {
	given, key, found := strings.Cut(authorization, " ")
	if !found || !strings.EqualFold(given, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
