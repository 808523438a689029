package region

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HashNewSoftware returns a hash of new software in its order, 0 if there is none.
func HashNewSoftware(software []NewSoftware) uint64 {
	if len(software) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, each := range software {
		_, _ = digest.WriteString(each.Service + "\x00" + each.Version + "\x00" + strconv.FormatUint(each.Revision, 10) + "\x00")
	}
	return digest.Sum64()
}
