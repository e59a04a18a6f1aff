// Package answertest serves broken HTTP answers to the tests of their readers.
package answertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Sound returns an answer with a status of 200 and a body.
func Sound(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Broken returns answers by what is wrong with them. Each has a status of 200 and a sound body somewhere.
func Broken(body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	const chunked = "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"status 000":            "HTTP/1.1 000 None\r\n" + length + "\r\n" + body,
		"status 000 before":     "HTTP/1.1 000 None\r\n\r\n" + Sound(body),
		"other version":         "HTTP/9.9 200 OK\r\n" + length + "\r\n" + body,
		"blank in a name":       ok + "X Field: v\r\n" + length + "\r\n" + body,
		"blank behind a length": fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", ok, len(body), body),
		"control byte in one":   ok + "X\x01Field: v\r\n" + length + "\r\n" + body,
		"continued line":        ok + "X-Field: v\r\n " + length + "\r\n" + body,
		"length and coding":     ok + length + chunked + "\r\n" + chunk + "0\r\n\r\n",
		"coding in HTTP/1.0":    "HTTP/1.0 200 OK\r\n" + chunked + length + "\r\n" + body,
		"cut within the body":   fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(body)+1, body),
		"cut between chunks":    ok + chunked + "\r\n" + chunk,
		"cut in a chunk":        fmt.Sprintf("%s%s\r\n%x\r\n%s", ok, chunked, len(body)+1, body),
		"cut within the head":   ok + length,
		"nothing":               "",
	}
}

// Serve reads each request to an address whole, answers it with a text, and closes the connection.
func Serve(t *testing.T, answer string) (address string) {
	t.Helper()
	return Handle(t, func(connection *net.TCPConn, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, _ = io.WriteString(connection, answer) // fails if the client has left
	})
}

// Handle serves each connection to an address by a function, which gets the first request with its body unread,
// and then closes the connection.
func Handle(t *testing.T, handle func(connection *net.TCPConn, request *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err == nil {
					handle(connection.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
