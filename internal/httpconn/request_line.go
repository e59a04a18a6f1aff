package httpconn

import (
	"bytes"
	"io"
	"net/http"
	"strings"
)

// writeRequest writes a request. An opaque target is written byte for byte.
func writeRequest(w io.Writer, request *http.Request) error {
	if strings.HasPrefix(request.URL.Opaque, "//") {
		// net/http takes such a target for the rest of a URL without its scheme, and puts a colon before it.
		line := request.Method + " " + request.URL.Opaque + " HTTP/1.1\r\n"
		w = &requestLineWriter{destination: w, line: line}
	}
	return request.Write(w)
}

// requestLineWriter replaces the first line of what is written.
type requestLineWriter struct {
	destination io.Writer
	line        string
	isReplaced  bool
}

// Write implements io.Writer.
func (r *requestLineWriter) Write(data []byte) (int, error) {
	if r.isReplaced {
		return r.destination.Write(data)
	}
	_, rest, isWhole := bytes.Cut(data, []byte("\n"))
	if !isWhole {
		return len(data), nil
	}
	r.isReplaced = true
	if _, err := io.WriteString(r.destination, r.line); err != nil {
		return 0, err
	}
	written, err := r.destination.Write(rest)
	return len(data) - len(rest) + written, err
}
