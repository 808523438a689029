package handler

import (
	"encoding/json"
	"unicode/utf8"
)

// appendQuoted appends a text as a JSON string. Plain text is copied without
// an allocation; anything else takes the encoder's way.
func appendQuoted(buffer []byte, text string) []byte {
	for index := range len(text) {
		if !isPlain(text[index]) {
			return appendEncoded(buffer, text)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}

// isPlain reports whether a byte stands for itself in a JSON string.
func isPlain(b byte) bool {
	return b >= ' ' && b < utf8.RuneSelf && b != '"' && b != '\\'
}

func appendEncoded(buffer []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic("json: a string can't be encoded: " + err.Error())
	}
	return append(buffer, encoded...)
}
