package answer

import "strings"

// tokenMarks are the characters of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether a text is a token.
func isToken(text string) bool {
	for index := range len(text) {
		b := text[index]
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isLetter && !isDigit(b) && strings.IndexByte(tokenMarks, b) < 0 {
			return false
		}
	}
	return text != ""
}

// isText reports whether a text has no control byte but tabs, as values of fields and reasons have none (RFC 9110, section 5.5). Bytes above
// ASCII are allowed.
func isText(text string) bool {
	for index := range len(text) {
		if b := text[index]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
