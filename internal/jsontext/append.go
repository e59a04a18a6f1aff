// Package jsontext encodes and scans simple JSON values without reflection, for
// the messages that are sent once per token.
package jsontext

import "unicode/utf8"

// hexDigits are the digits of \u escapes.
const hexDigits = "0123456789abcdef"

// AppendString appends text as a JSON string. Bytes that are not valid UTF-8
// become the replacement character, as in encoding/json.
func AppendString[T string | []byte](buffer []byte, text T) []byte {
	buffer = append(buffer, '"')
	start := 0
	for i := 0; i < len(text); {
		b := text[i]
		if b < utf8.RuneSelf {
			if b >= ' ' && b != '"' && b != '\\' {
				i++
				continue
			}
			buffer = append(buffer, text[start:i]...)
			buffer = appendEscape(buffer, b)
			i++
			start = i
			continue
		}
		r, size := decodeRune(text, i)
		if r == utf8.RuneError && size == 1 {
			buffer = append(buffer, text[start:i]...)
			buffer = append(buffer, `\ufffd`...)
			i++
			start = i
			continue
		}
		i += size
	}
	buffer = append(buffer, text[start:]...)
	return append(buffer, '"')
}

func decodeRune[T string | []byte](text T, at int) (rune, int) {
	end := min(at+utf8.UTFMax, len(text))
	return utf8.DecodeRuneInString(string(text[at:end]))
}

func appendEscape(buffer []byte, b byte) []byte {
	switch b {
	case '"', '\\':
		return append(buffer, '\\', b)
	case '\n':
		return append(buffer, '\\', 'n')
	case '\r':
		return append(buffer, '\\', 'r')
	case '\t':
		return append(buffer, '\\', 't')
	default:
		return append(buffer, '\\', 'u', '0', '0', hexDigits[b>>4], hexDigits[b&0xf])
	}
}
