package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerTime bounds the wait of a client for an answer.
const answerTime = 6 * time.Second

// reply is the answer that a client has; status is 0 if there is none.
type reply struct {
	status int
	body   string
	err    error
}

// send sends a request on a new connection, with the target as it is, and returns the answer.
func (f *fleet) send(d *daemon, method, target, id, body string, header map[string]string) reply {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", method, target, routeHost, id, len(body))
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	f.record.write("client sends request %s to %s: %s %s, body of %d bytes", id, d.name, method, target, len(body))
	got := exchange(d.front, text+"\r\n"+body)
	f.record.write("client has the answer to %s: status %d, body %.60q, error %v", id, got.status, got.body, got.err)
	return got
}

// exchange sends bytes and reads one answer.
func exchange(address, text string) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }() // the answer was read
	if err := conn.SetDeadline(time.Now().Add(answerTime)); err != nil {
		return reply{err: err}
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }() // it was read
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), err: err}
}
