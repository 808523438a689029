package poison

import (
	"crypto/sha256"
	"sync"
	"time"
)

// MaximumParts bounds the parts of one request's prompt that are considered.
const MaximumParts = 32

// partTarget stands for the host and the target in the digests of parts, which may be in requests to any.
var partTarget = HashTarget("", "part of a prompt")

// PartDigests returns the digests of the parts of a prompt that other requests to a service may share, without duplicates.
// The last part is the request's own and must not be among them.
func PartDigests(service string, parts []string) []Digest {
	digests := make([]Digest, 0, min(len(parts), MaximumParts))
	seen := make(map[string]bool, min(len(parts), MaximumParts))
	for _, part := range parts {
		if len(digests) == MaximumParts {
			break
		}
		if part == "" || seen[part] {
			continue
		}
		seen[part] = true
		digests = append(digests, partDigest(service, part))
	}
	return digests
}

func partDigest(service, part string) (digest Digest) {
	sum := sha256.New()
	writeField(sum, []byte(service))
	writeField(sum, []byte(part))
	digest.setTarget(partTarget)
	copy(digest[targetBytes:], sum.Sum(nil))
	return digest
}

// IsPart reports whether the digest is that of a part of prompts.
func (d Digest) IsPart() bool { return d.TargetHash() == partTarget }

const (
	// exonerationTimes is for how many contact times a part is taken for harmless that was in a request which ran to its end.
	exonerationTimes = 2
	// maximumExonerated bounds the parts that are remembered: 4,096 are some 300 KB.
	maximumExonerated = 4096
)

// exoneratedParts are the parts of prompts that were in requests which recently ran to their ends: they crash no replicas,
// though they often are in requests beside those that do. It is safe for concurrent use.
type exoneratedParts struct {
	lifetime time.Duration
	mutex    sync.Mutex
	at       map[Digest]time.Duration
}

func newExoneratedParts(lifetime time.Duration) *exoneratedParts {
	return &exoneratedParts{lifetime: lifetime, at: map[Digest]time.Duration{}}
}

// add records parts that were in a request which has run to its end.
func (e *exoneratedParts) add(now time.Duration, parts []Digest) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, part := range parts {
		if _, known := e.at[part]; !known && len(e.at) >= maximumExonerated {
			e.makeRoom(now)
		}
		e.at[part] = now
	}
}

// makeRoom forgets the parts that have expired or, if there are none, any. The caller must hold e.mutex.
func (e *exoneratedParts) makeRoom(now time.Duration) {
	for part, at := range e.at {
		if now-at >= e.lifetime {
			delete(e.at, part)
		}
	}
	for part := range e.at {
		if len(e.at) < maximumExonerated {
			return
		}
		delete(e.at, part)
	}
}

// covers reports whether a part is taken for harmless.
func (e *exoneratedParts) covers(now time.Duration, part Digest) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	at, known := e.at[part]
	return known && now-at < e.lifetime
}
