package engineapi

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CountTokens counts the tokens of a text. A token is a run of characters up
// to and including the white space behind it. Real engines bring their own
// tokenizer; this count is what routing estimates are made from.
func CountTokens(text string) int {
	return len(strings.Fields(text))
}

// SplitTokens splits a text into its tokens.
func SplitTokens(text string) []string {
	return strings.Fields(text)
}

// PrefixBlocks returns the chained hashes of the whole blocks of a prompt, the
// names under which CacheEvent speaks of them. The model is part of the hash,
// because KV cache of one model is of no use to another.
func PrefixBlocks(model string, tokens []string) []uint64 {
	blocks := make([]uint64, 0, len(tokens)/PrefixBlockTokens)
	previous := xxhash.Sum64String(model)
	digest := xxhash.New()
	for start := 0; start+PrefixBlockTokens <= len(tokens); start += PrefixBlockTokens {
		digest.Reset()
		var link [8]byte
		binary.LittleEndian.PutUint64(link[:], previous)
		_, _ = digest.Write(link[:])
		for _, token := range tokens[start : start+PrefixBlockTokens] {
			_, _ = digest.WriteString(token)
			_, _ = digest.Write([]byte{0})
		}
		previous = digest.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}
