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

// Digest identifies a request by its content: two requests that differ in one byte of their
// bodies, in their callers or in their targets have different digests. It gives nothing of the
// content away, so that it may be logged and stored.
type Digest [DigestBytes]byte

// targetBytes of a digest tell the host and the target alone, so that requests to other targets
// need not be hashed whole to see that they are different ones.
const targetBytes = 4

// Content is what a Digest is made of.
type Content struct {
	// Caller is the tenant that sends the request, empty if callers bring no keys.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Digest returns the content's digest: the first bytes are those of TargetOf, the others of a
// SHA-256 over all of it, since callers choose the content and must not be able to meet the
// digest of another's request.
func (c Content) Digest() Digest {
	var digest Digest
	sum := sha256.New()
	for _, field := range []string{c.Caller, c.Method, c.Host, c.Target} {
		writeField(sum, []byte(field))
	}
	writeField(sum, c.Body)
	binary.BigEndian.PutUint32(digest[:targetBytes], TargetOf(c.Host, c.Target))
	copy(digest[targetBytes:], sum.Sum(nil))
	return digest
}

// writeField writes a field behind its length, so that no two contents give the same bytes.
func writeField(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(field)
}

// TargetOf is the part of a request's digest that follows from its host and target alone.
func TargetOf(host, target string) uint32 {
	sum := xxhash.New()
	_, _ = io.WriteString(sum, host)
	_, _ = sum.Write([]byte{0})
	_, _ = io.WriteString(sum, target)
	return uint32(sum.Sum64())
}

// Target is the part of the digest that follows from the request's host and target alone.
func (d Digest) Target() uint32 { return binary.BigEndian.Uint32(d[:targetBytes]) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalMsg implements msgp.Marshaler.
func (d Digest) MarshalMsg(encoded []byte) ([]byte, error) {
	return msgp.AppendBytes(encoded, d[:]), nil
}

// UnmarshalMsg implements msgp.Unmarshaler. The generated one (msgp v1.6) takes a digest whose
// last bytes are cut off for one that ends in zeros.
func (d *Digest) UnmarshalMsg(encoded []byte) ([]byte, error) {
	content, rest, err := msgp.ReadBytesZC(encoded)
	if err != nil {
		return encoded, err
	}
	if len(content) != DigestBytes {
		return encoded, errNoDigest
	}
	copy(d[:], content)
	return rest, nil
}

// Msgsize is an upper bound of the encoded length.
func (Digest) Msgsize() int { return msgp.BytesPrefixSize + DigestBytes }

var errNoDigest = errors.New("a digest has 32 hexadecimal digits")

// ParseDigest reads what String returns.
func ParseDigest(text string) (Digest, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != DigestBytes {
		return Digest{}, errNoDigest
	}
	return Digest(decoded), nil
}
