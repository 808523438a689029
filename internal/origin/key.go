package origin

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool msgp -file key.go -tests=false -io=false
//msgp:tuple Key

// Key identifies the request that has begun a stream.
type Key struct {
	High uint64 `msg:"high"`
	Low  uint64 `msg:"low"`
}

// KeyOf returns the key of a tenant's request. The tenant is part of it, so that a request ID is of use to nobody else.
func KeyOf(tenant, request string) Key {
	content := binary.LittleEndian.AppendUint64(nil, uint64(len(tenant)))
	content = append(content, tenant...)
	content = append(content, request...)
	sum := sha256.Sum256(content)
	return Key{High: binary.LittleEndian.Uint64(sum[:]), Low: binary.LittleEndian.Uint64(sum[8:])}
}

// Keepers returns at most count of the addresses of processes: those that keep the record of a key, best first. The order
// differs from key to key and is the same at all processes (rendezvous hashing).
func (k Key) Keepers(addresses []string, count int) []string {
	type weighted struct {
		address string
		weight  uint64
	}
	ranked := make([]weighted, 0, len(addresses))
	for _, address := range addresses {
		hashed := binary.LittleEndian.AppendUint64([]byte(address), k.High)
		ranked = append(ranked, weighted{address, xxhash.Sum64(hashed)})
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
	})
	keepers := make([]string, 0, count)
	for _, each := range ranked[:min(count, len(ranked))] {
		keepers = append(keepers, each.address)
	}
	return keepers
}
