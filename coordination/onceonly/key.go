package onceonly

import (
	"errors"
	"strings"

	"github.com/google/uuid"
)

// Limits in bytes of a key without its zone and of its whole text.
const (
	maximumRestBytes = 200
	maximumTextBytes = 512
	zoneSeparator    = "~"
)

// Errors of ParseKey.
var (
	// ErrKeyEmpty: the key, or its part after the zone, is empty.
	ErrKeyEmpty = errors.New("key is empty")
	// ErrKeyTooLong: the key without its zone is longer than 200 bytes, or the
	// whole text longer than 512 bytes.
	ErrKeyTooLong = errors.New("key is longer than 200 bytes")
	// ErrKeyCharacters: the key contains bytes other than visible ASCII.
	ErrKeyCharacters = errors.New("key has characters other than visible ASCII")
	// ErrKeyZone: the key's prefix is not a known zone.
	ErrKeyZone = errors.New("key's prefix before ~ names no known zone")
)

// Key is a parsed idempotency key. Its grammar is `[zone~]rest`.
type Key struct {
	// Zone is the home zone, whose group stores the key's record.
	Zone string
	// Rest is the key without its zone. A UUIDv7 is in lower case.
	Rest string
	// MintedMillis is the minting time in Unix milliseconds that a UUIDv7
	// carries (RFC 9562 section 5.7); 0 for an opaque key.
	MintedMillis int64
	// Opaque is true if the key carries no minting time.
	Opaque bool
}

// ParseKey parses a key. A key without a zone belongs to homeZone. It returns
// one of the ErrKey errors if the key is invalid.
func ParseKey(text, homeZone string, isZone func(string) bool) (Key, error) {
	if err := checkText(text); err != nil {
		return Key{}, err
	}
	zone, rest, hasZone := strings.Cut(text, zoneSeparator)
	if !hasZone {
		zone, rest = homeZone, text
	}
	if !isZone(zone) {
		return Key{}, ErrKeyZone
	}
	if rest == "" {
		return Key{}, ErrKeyEmpty
	}
	if len(rest) > maximumRestBytes {
		return Key{}, ErrKeyTooLong
	}
	key := Key{Zone: zone, Rest: rest, Opaque: true}
	if millis, canonical, isTimed := parseUUIDv7(rest); isTimed {
		key.Rest = canonical
		key.MintedMillis = millis
		key.Opaque = false
	}
	return key, nil
}

func checkText(text string) error {
	if text == "" {
		return ErrKeyEmpty
	}
	if len(text) > maximumTextBytes {
		return ErrKeyTooLong
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return ErrKeyCharacters
		}
	}
	return nil
}

const (
	canonicalUUIDLength = 36
	timedUUIDVersion    = 7
	timestampBytes      = 6
)

// parseUUIDv7 returns the timestamp of a UUIDv7 and its canonical form. Only
// text in the 36-character form is accepted.
func parseUUIDv7(text string) (millis int64, canonical string, ok bool) {
	if len(text) != canonicalUUIDLength {
		return 0, "", false
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != timedUUIDVersion || id.Variant() != uuid.RFC4122 {
		return 0, "", false
	}
	for _, octet := range id[:timestampBytes] {
		millis = millis<<8 | int64(octet)
	}
	return millis, id.String(), true
}
