package httpconn

import (
	"bytes"

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
)

// ErrMalformedHead: the head of a response is not one of HTTP/1.1.
var ErrMalformedHead = eris.New("httpconn: the head of the response is malformed")

// checkHead returns an error if a head is not one of an HTTP/1.1 response (RFC 9112). net/http also takes heads
// that are not, and leaves out or alters what is wrong with them.
func checkHead(head []byte) error {
	statusLine, _, _ := bytes.Cut(head, []byte("\n"))
	return checkStatusLine(bytes.TrimSuffix(statusLine, []byte("\r")))
}

// checkStatusLine checks the version and the status code, such as in "HTTP/1.1 200 OK".
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
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
