// Package broken has answers that are none by RFC 9112 and 9110, sound ones that look unusual, and ends of answers, for tests
// of those who read them.
package broken

import (
	"fmt"
	"maps"
	"strings"
)

// fieldsMark stands for the fields that a test adds to an answer, each with its line end.
const fieldsMark = "{fields}"

// Render returns an answer with further fields.
func Render(answer, fields string) string { return strings.ReplaceAll(answer, fieldsMark, fields) }

const (
	// Body is the body of sound answers, and of broken ones that have one.
	Body = "body"
	// Hidden is the body of the answers that are hidden behind a broken head.
	Hidden = "hidden"

	rest       = "\r\n" + fieldsMark + "Content-Length: 4\r\n\r\n" + Body
	hidden     = "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 6\r\n\r\n" + Hidden
	begin      = "HTTP/1.1 200 OK\r\n" + fieldsMark
	lengthRest = "Content-Length: 4\r\n\r\n" + Body
	inChunks   = "Transfer-Encoding: chunked\r\n\r\n"
	chunkRest  = inChunks + "4\r\n" + Body + "\r\n0\r\n\r\n"
)

// StatusLines are answers whose status line is none, by what is wrong.
var StatusLines = map[string]string{
	"a status of 000":                   "HTTP/1.1 000 X" + rest,
	"a status of 000 without a length":  "HTTP/1.1 000 X\r\n" + fieldsMark + "\r\n" + hidden,
	"a status of 001":                   "HTTP/1.1 001 X" + rest,
	"a status of 99":                    "HTTP/1.1 99 X" + rest,
	"a status of 099 without a length":  "HTTP/1.1 099 X\r\n" + fieldsMark + "\r\n" + hidden,
	"a status of 2":                     "HTTP/1.1 2 X" + rest,
	"a status of 20":                    "HTTP/1.1 20 X" + rest,
	"a status of 600":                   "HTTP/1.1 600 X" + rest,
	"a status of 999":                   "HTTP/1.1 999 X" + rest,
	"a status of 2000":                  "HTTP/1.1 2000 X" + rest,
	"a status with a sign":              "HTTP/1.1 +20 X" + rest,
	"a negative status":                 "HTTP/1.1 -20 X" + rest,
	"a status with a letter":            "HTTP/1.1 2x0 X" + rest,
	"no status":                         "HTTP/1.1" + rest,
	"an empty status":                   "HTTP/1.1 " + rest,
	"two blanks before the status":      "HTTP/1.1  200 X" + rest,
	"a tab before the status":           "HTTP/1.1\t200 X" + rest,
	"a control byte in the reason":      "HTTP/1.1 200 O\x01K" + rest,
	"a zero byte in the reason":         "HTTP/1.1 200 O\x00K" + rest,
	"a carriage return in the reason":   "HTTP/1.1 200 O\rK" + rest,
	"a reason right behind the status":  "HTTP/1.1 200OK" + rest,
	"version 2":                         "HTTP/2.0 200 OK" + rest,
	"a version without a minor one":     "HTTP/1 200 OK" + rest,
	"a version of two digits":           "HTTP/1.10 200 OK" + rest,
	"a version in small letters":        "http/1.1 200 OK" + rest,
	"another protocol":                  "ICY 200 OK" + rest,
	"a blank before the version":        " HTTP/1.1 200 OK" + rest,
	"an empty line before the status":   "\r\nHTTP/1.1 200 OK" + rest,
	"an upgrade that nobody asked for":  "HTTP/1.1 101 Switching Protocols\r\n" + fieldsMark + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n" + hidden,
	"an interim answer with a length":   "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\n" + Body + hidden,
	"an interim answer with chunks":     "HTTP/1.1 103 Early Hints\r\n" + inChunks + "0\r\n\r\n" + hidden,
	"an interim answer with a bad name": "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + hidden,
}

// Fields are answers with a field that is none, by what is wrong.
var Fields = map[string]string{
	"a blank before the colon":           begin + "A : b\r\n" + lengthRest,
	"a tab before the colon":             begin + "A\t: b\r\n" + lengthRest,
	"a blank before a length's colon":    begin + "Content-Length : 4\r\n\r\n" + Body,
	"a blank before a coding's colon":    begin + "Transfer-Encoding : chunked\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"a blank in a name":                  begin + "A b: c\r\n" + lengthRest,
	"a control byte in a name":           begin + "A\x01b: c\r\n" + lengthRest,
	"a zero byte in a name":              begin + "A\x00b: c\r\n" + lengthRest,
	"a delete byte in a name":            begin + "A\x7fb: c\r\n" + lengthRest,
	"a byte above ASCII in a name":       begin + "A\xe9: b\r\n" + lengthRest,
	"a delimiter in a name":              begin + "A(b): c\r\n" + lengthRest,
	"a name without a character":         begin + ": b\r\n" + lengthRest,
	"a line without a colon":             begin + "Ab\r\n" + lengthRest,
	"a first line that begins blank":     "HTTP/1.1 200 OK\r\n A: b\r\n" + fieldsMark + lengthRest,
	"a line that begins with a blank":    begin + "A: b\r\n c\r\n" + lengthRest,
	"a line that begins with a tab":      begin + "A: b\r\n\tc\r\n" + lengthRest,
	"a length in a folded line":          begin + "A: b\r\n Content-Length: 6\r\n" + lengthRest,
	"a control byte in a value":          begin + "A: b\x01c\r\n" + lengthRest,
	"an escape byte in a value":          begin + "A: b\x1b[31mc\r\n" + lengthRest,
	"a zero byte in a value":             begin + "A: b\x00c\r\n" + lengthRest,
	"a delete byte in a value":           begin + "A: b\x7fc\r\n" + lengthRest,
	"a carriage return in a value":       begin + "A: b\rSet-Cookie: c\r\n" + lengthRest,
	"two carriage returns at a line end": begin + "A: b\r\r\n" + lengthRest,
}

// Lengths are answers whose body has no length, or several, by what is wrong.
var Lengths = map[string]string{
	"two lengths that differ":          begin + "Content-Length: 6\r\n" + lengthRest,
	"a list of lengths that differ":    begin + "Content-Length: 4, 6\r\n\r\n" + Body,
	"a signed length":                  begin + "Content-Length: +4\r\n\r\n" + Body,
	"a negative length":                begin + "Content-Length: -4\r\n\r\n" + Body,
	"a length of -1":                   begin + "Content-Length: -1\r\n\r\n" + Body,
	"a hexadecimal length":             begin + "Content-Length: 0x4\r\n\r\n" + Body,
	"a length in words":                begin + "Content-Length: four\r\n\r\n" + Body,
	"a length with a blank":            begin + "Content-Length: 4 4\r\n\r\n" + Body,
	"a length with a comma":            begin + "Content-Length: 4,\r\n\r\n" + Body,
	"an empty length":                  begin + "Content-Length:\r\n\r\n" + Body,
	"a length beyond 63 bits":          begin + "Content-Length: 18446744073709551620\r\n\r\n" + Body,
	"a length and chunks":              begin + "Content-Length: 4\r\n" + chunkRest,
	"chunks and a length":              begin + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"a coding before the chunks":       begin + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"a coding that is not known":       begin + "Transfer-Encoding: xchunked\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"a coding of identity":             begin + "Transfer-Encoding: identity\r\n\r\n" + Body,
	"no coding":                        begin + "Transfer-Encoding:\r\n\r\n" + Body,
	"chunks in chunks":                 begin + "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"chunks named twice":               begin + "Transfer-Encoding: chunked\r\n" + chunkRest,
	"a coding with a vertical tab":     begin + "Transfer-Encoding: \x0bchunked\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"chunks of an earlier version":     "HTTP/1.0 200 OK\r\n" + fieldsMark + chunkRest,
	"a coding of an answer without it": "HTTP/1.1 204 No Content\r\n" + fieldsMark + chunkRest,
}

// Chunks are answers whose chunks or trailers are none, by what is wrong.
var Chunks = map[string]string{
	"a chunk's size in letters":            begin + inChunks + "zz\r\n" + Body + "\r\n0\r\n\r\n",
	"an empty chunk's size":                begin + inChunks + "\r\n" + Body + "\r\n0\r\n\r\n",
	"a negative chunk":                     begin + inChunks + "-4\r\n" + Body + "\r\n0\r\n\r\n",
	"a signed chunk":                       begin + inChunks + "+4\r\n" + Body + "\r\n0\r\n\r\n",
	"a chunk's size with a prefix":         begin + inChunks + "0x4\r\n" + Body + "\r\n0\r\n\r\n",
	"a blank before a chunk's size":        begin + inChunks + " 4\r\n" + Body + "\r\n0\r\n\r\n",
	"a chunk beyond 64 bits":               begin + inChunks + "10000000000000004\r\n" + Body + "\r\n0\r\n\r\n",
	"a chunk longer than its size":         begin + inChunks + "3\r\n" + Body + "\r\n0\r\n\r\n",
	"a chunk's size that ends with a line": begin + inChunks + "4\n" + Body + "\r\n0\r\n\r\n",
	"a chunk that ends with a line":        begin + inChunks + "4\r\n" + Body + "\n0\r\n\r\n",
	"a carriage return in an extension":    begin + inChunks + "4;a\rb\r\n" + Body + "\r\n0\r\n\r\n",
	"an extension that ends with a line":   begin + inChunks + "4;a=b\n" + Body + "\r\n0\r\n\r\n",
	"a control byte in an extension":       begin + inChunks + "4;a=\x01\r\n" + Body + "\r\n0\r\n\r\n",
	"a word behind a chunk's size":         begin + inChunks + "4 a\r\n" + Body + "\r\n0\r\n\r\n",
	"a blank before a trailer's colon":     begin + inChunks + "4\r\n" + Body + "\r\n0\r\nA : b\r\n\r\n",
	"a blank in a trailer's name":          begin + inChunks + "4\r\n" + Body + "\r\n0\r\nA b: c\r\n\r\n",
	"a control byte in a trailer":          begin + inChunks + "4\r\n" + Body + "\r\n0\r\nA: b\x01\r\n\r\n",
	"a trailer without a colon":            begin + inChunks + "4\r\n" + Body + "\r\n0\r\nAb\r\n\r\n",
	"a trailer that begins with a blank":   begin + inChunks + "4\r\n" + Body + "\r\n0\r\nA: b\r\n c\r\n\r\n",
}

// Answers are all answers that are none, those of each table.
func Answers() map[string]string {
	all := map[string]string{}
	for _, table := range []map[string]string{StatusLines, Fields, Lengths, Chunks} {
		maps.Copy(all, table)
	}
	return all
}

// Sound are answers that are unusual, and whole.
var Sound = map[string]string{
	"an empty reason":                   "HTTP/1.1 200 " + rest,
	"no blank behind the status":        "HTTP/1.1 200" + rest,
	"a reason above ASCII":              "HTTP/1.1 200 \xe9t\xe9" + rest,
	"a reason with a tab":               "HTTP/1.1 200 O\tK" + rest,
	"a later minor version":             "HTTP/1.2 200 OK" + rest,
	"an earlier version":                "HTTP/1.0 200 OK" + rest,
	"a status that nobody has named":    "HTTP/1.1 299 X" + rest,
	"a value above ASCII":               begin + "A: \xe9t\xe9\r\n" + lengthRest,
	"an empty value":                    begin + "A:\r\n" + lengthRest,
	"a value without a blank before":    begin + "A:b\r\n" + lengthRest,
	"blanks and tabs around a value":    begin + "A: \t b\tc \t\r\n" + lengthRest,
	"a name of all kinds of characters": begin + "!#$%&'*+-.^_`|~0aZ: b\r\n" + lengthRest,
	"lines that end with a line feed":   "HTTP/1.1 200 OK\n" + fieldsMark + "Content-Length: 4\n\n" + Body,
	"a length in small letters":         begin + "content-length: 4\r\n\r\n" + Body,
	"the same length twice":             begin + "Content-Length: 4\r\n" + lengthRest,
	"a list of the same length":         begin + "Content-Length: 4, 4\r\n\r\n" + Body,
	"a length with zeros":               begin + "Content-Length: 0004\r\n\r\n" + Body,
	"chunks":                            begin + chunkRest,
	"chunks in capital letters":         begin + "Transfer-Encoding: CHUNKED\r\n\r\n4\r\n" + Body + "\r\n0\r\n\r\n",
	"several chunks":                    begin + inChunks + "1\r\nb\r\n3\r\nody\r\n0\r\n\r\n",
	"a chunk's size with zeros":         begin + inChunks + "00004\r\n" + Body + "\r\n000\r\n\r\n",
	"a chunk's extension":               begin + inChunks + "4;a=b\r\n" + Body + "\r\n0;c\r\n\r\n",
	"an extension in quotes":            begin + inChunks + "4 ; a=\"b;c\" ;d\r\n" + Body + "\r\n0\r\n\r\n",
	"trailers":                          begin + inChunks + "4\r\n" + Body + "\r\n0\r\nA: b\r\nC: \xe9\r\n\r\n",
	"a trailer with a length":           begin + inChunks + "4\r\n" + Body + "\r\n0\r\nContent-Length: 9\r\n\r\n",
	"an interim answer":                 "HTTP/1.1 100 Continue\r\n\r\n" + begin + lengthRest,
	"interim answers with fields":       "HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: c\r\n\r\n" + begin + chunkRest,
	"an interim answer without a name":  "HTTP/1.1 199\r\n\r\n" + begin + lengthRest,
}

// WithBody returns an answer of the tables with another body.
func WithBody(answer, body string) string {
	answer = strings.ReplaceAll(answer, "\r\n4\r\n"+Body+"\r\n", fmt.Sprintf("\r\n%x\r\n%s\r\n", len(body), body))
	answer = strings.ReplaceAll(answer, "Content-Length: 4\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	return strings.ReplaceAll(answer, "\r\n\r\n"+Body, "\r\n\r\n"+body)
}
