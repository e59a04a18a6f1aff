package jsontext

import (
	"strconv"
	"unicode/utf8"
)

// ScanString scans a JSON string at the beginning of data and returns the rest
// of data. ok is false for anything else and for strings with \u or other rare
// escapes; the caller then falls back to encoding/json.
func ScanString(data []byte) (text string, rest []byte, ok bool) {
	if len(data) == 0 || data[0] != '"' {
		return "", nil, false
	}
	data = data[1:]
	for i, b := range data {
		switch {
		case b == '"':
			return string(data[:i]), data[i+1:], utf8.Valid(data[:i])
		case b == '\\':
			return scanEscaped(data, i)
		case b < ' ':
			return "", nil, false
		}
	}
	return "", nil, false
}

// scanEscaped continues ScanString at the first escape.
func scanEscaped(data []byte, at int) (string, []byte, bool) {
	buffer := make([]byte, 0, len(data))
	buffer = append(buffer, data[:at]...)
	for i := at; i < len(data); i++ {
		b := data[i]
		switch {
		case b == '"':
			return string(buffer), data[i+1:], utf8.Valid(buffer)
		case b < ' ':
			return "", nil, false
		case b != '\\':
			buffer = append(buffer, b)
		default:
			i++
			plain, simple := unescape(data, i)
			if !simple {
				return "", nil, false
			}
			buffer = append(buffer, plain)
		}
	}
	return "", nil, false
}

func unescape(data []byte, at int) (byte, bool) {
	if at >= len(data) {
		return 0, false
	}
	switch data[at] {
	case '"', '\\', '/':
		return data[at], true
	case 'n':
		return '\n', true
	case 'r':
		return '\r', true
	case 't':
		return '\t', true
	default:
		return 0, false
	}
}

// maximumDigits is the number of decimal digits that always fit an int64.
const maximumDigits = 18

// ScanInteger scans a non-negative integer at the beginning of data and returns
// the rest of data.
func ScanInteger(data []byte) (number int64, rest []byte, ok bool) {
	end := 0
	for end < len(data) && data[end] >= '0' && data[end] <= '9' {
		end++
	}
	leadingZero := end > 1 && data[0] == '0'
	if end == 0 || end > maximumDigits || leadingZero {
		return 0, nil, false
	}
	for _, digit := range data[:end] {
		number = number*10 + int64(digit-'0')
	}
	return number, data[end:], true
}

// AppendField appends key, which must be encoded and include the colon, and an
// integer.
func AppendField(buffer []byte, key string, number int64) []byte {
	buffer = append(buffer, key...)
	return strconv.AppendInt(buffer, number, 10)
}

// SkipScalar skips an ASCII string without escapes or a non-negative integer.
func SkipScalar(data []byte) (rest []byte, ok bool) {
	if len(data) == 0 || data[0] != '"' {
		_, rest, ok = ScanInteger(data)
		return rest, ok
	}
	for i, b := range data[1:] {
		switch {
		case b == '"':
			return data[i+2:], true
		case b == '\\' || b < ' ' || b >= utf8.RuneSelf:
			return nil, false
		}
	}
	return nil, false
}
