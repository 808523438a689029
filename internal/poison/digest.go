package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
)

// DigestBytes is the length of a Digest.
const DigestBytes = 16

// Digest identifies a request by its content: two requests that differ in one byte of their bodies, in
// their callers or in their targets have different digests. It reveals nothing of the content, so it
// may be logged and stored.
type Digest [DigestBytes]byte

// targetBytes is the length of the part of a digest that depends on the host and the target alone. It
// tells requests to other targets apart without hashing their whole content.
const targetBytes = 4

// Content is the part of a request from which its Digest is computed.
type Content struct {
	// Caller is the tenant that sends the request, empty if callers present no keys.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Digest returns the content's digest: the first bytes are those of HashTarget, the others those of a
// SHA-256 over all of the content, since callers choose the content and must not be able to produce the
// digest of another's request.
func (c Content) Digest() Digest {
	var digest Digest
	sum := sha256.New()
	for _, field := range []string{c.Caller, c.Method, c.Host, c.Target} {
		writeField(sum, []byte(field))
	}
	writeField(sum, c.Body)
	digest.setTarget(HashTarget(c.Host, c.Target))
	copy(digest[targetBytes:], sum.Sum(nil))
	return digest
}

// writeField writes a field preceded by its length, so that no two contents give the same bytes.
func writeField(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(field)
}

// HashTarget returns the part of a request's digest that follows from its host and target alone.
func HashTarget(host, target string) uint32 {
	sum := xxhash.New()
	_, _ = io.WriteString(sum, host)
	_, _ = sum.Write([]byte{0})
	_, _ = io.WriteString(sum, target)
	return uint32(sum.Sum64())
}

func (d *Digest) setTarget(target uint32) { binary.BigEndian.PutUint32(d[:targetBytes], target) }

// TargetHash returns the part of the digest that follows from the request's host and target alone.
func (d Digest) TargetHash() uint32 { return binary.BigEndian.Uint32(d[:targetBytes]) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalMsg implements msgp.Marshaler.
func (d Digest) MarshalMsg(encoded []byte) ([]byte, error) {
	return msgp.AppendBytes(encoded, d[:]), nil
}

// UnmarshalMsg implements msgp.Unmarshaler. The method that msgp v1.6 generates accepts a truncated
// digest as one that ends in zeros.
func (d *Digest) UnmarshalMsg(encoded []byte) ([]byte, error) {
	content, rest, err := msgp.ReadBytesZC(encoded)
	if err != nil {
		return encoded, err
	}
	if len(content) != DigestBytes {
		return encoded, errInvalidDigest
	}
	copy(d[:], content)
	return rest, nil
}

// Msgsize returns an upper bound of the encoded length.
func (Digest) Msgsize() int { return msgp.BytesPrefixSize + DigestBytes }

var errInvalidDigest = errors.New("a digest has 32 hexadecimal digits")

// ParseDigest parses the text that String returns.
func ParseDigest(text string) (Digest, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != DigestBytes {
		return Digest{}, errInvalidDigest
	}
	return Digest(decoded), nil
}
