package httpconn

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// firstFinalStatus is the lowest status code of a final response.
	firstFinalStatus = 200
	// firstStatus and lastStatus are the lowest and the highest status code that HTTP defines.
	firstStatus = 100
	lastStatus  = 599
	// statusSwitchingProtocols is the status code of a response after which the connection speaks another
	// protocol. No request asks for that.
	statusSwitchingProtocols = 101
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// version10 and version11 are the versions of HTTP that a response may have.
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
	// tokenPunctuation are the characters of a token besides letters and digits.
	tokenPunctuation = "!#$%&'*+-.^_`|~"
)

var (
	headerContentLength    = []byte("Content-Length")
	headerTransferEncoding = []byte("Transfer-Encoding")
)

// ErrMalformedHead: the head of a response is not one of HTTP/1.1.
var ErrMalformedHead = eris.New("httpconn: the head of the response is malformed")

// checkHead returns an error if a head is not one of an HTTP/1.1 response (RFC 9112). net/http also takes heads
// that are not, and leaves out or alters what is wrong with them.
func checkHead(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatusLine(bytes.TrimSuffix(statusLine, []byte("\r"))); err != nil {
		return err
	}
	lengths, codings := 0, 0
	for line := range bytes.Lines(fields) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break // the end of the head
		}
		name, err := fieldName(line)
		if err != nil {
			return err
		}
		switch {
		case bytes.EqualFold(name, headerContentLength):
			lengths++
		case bytes.EqualFold(name, headerTransferEncoding):
			codings++
		}
	}
	return checkFraming(statusLine, lengths, codings)
}

// fieldName returns the name of a header field, such as in "Name: value". A line that begins with a blank, which
// once continued the line before, has none.
func fieldName(line []byte) ([]byte, error) {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, eris.Wrapf(ErrMalformedHead, "the name of a field is %.20q", name)
	}
	return name, nil
}

// checkFraming returns an error if a head with these numbers of header fields tells the end of the body in two
// ways, or in one that its version does not have.
func checkFraming(statusLine []byte, lengths, codings int) error {
	switch {
	case codings > 0 && lengths > 0:
		return eris.Wrap(ErrMalformedHead, "it has both a Content-Length and a Transfer-Encoding")
	case codings > 0 && bytes.HasPrefix(statusLine, []byte(version10)):
		return eris.Wrap(ErrMalformedHead, "it has a Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// isToken reports whether a text is a token of HTTP, which names a header field.
func isToken(text []byte) bool {
	for _, c := range text {
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && !strings.ContainsRune(tokenPunctuation, rune(c)) {
			return false
		}
	}
	return len(text) > 0
}

// checkStatusLine checks the version and the status code, such as in "HTTP/1.1 200 OK".
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != version11 && string(version) != version10 {
		return eris.Wrapf(ErrMalformedHead, "its version is %.20q", version)
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if !isStatus(code) {
		return eris.Wrapf(ErrMalformedHead, "its status is %.20q", code)
	}
	if bytes.ContainsFunc(reason, func(r rune) bool { return isControl(r) && r != '\t' }) {
		return eris.Wrapf(ErrMalformedHead, "its reason phrase %.20q has a control byte", reason)
	}
	return nil
}

func isStatus(code []byte) bool {
	if len(code) != statusDigits {
		return false
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return false
		}
		status = 10*status + int(digit-'0')
	}
	return status >= firstStatus && status <= lastStatus && status != statusSwitchingProtocols
}

func isControl(r rune) bool {
	const firstPrintable, deleteCharacter = ' ', 0x7f
	return r < firstPrintable || r == deleteCharacter
}

// checkTrailer returns an error if the name of a header field behind the body is malformed.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken([]byte(name)) {
			return eris.Wrapf(ErrBroken, "read: the name of a field in the trailer is %.20q", name)
		}
	}
	return nil
}
