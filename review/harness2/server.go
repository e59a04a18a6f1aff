package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// serverRequest is a request as it arrived at a server.
type serverRequest struct {
	method, target string
	header         textproto.MIMEHeader
	body           []byte
}

// answerFunc returns the answer to a request that a server has run, as it is written to the connection.
type answerFunc func(s *server, request serverRequest) string

// server is a stand-in for a server. It takes the target of a request as it is written.
type server struct {
	id       string
	record   *record
	answer   answerFunc
	listener net.Listener
	mutex    sync.Mutex
	runs     []serverRequest
}

// newServer starts a server at a free loopback address.
func newServer(r *record, id string, answer answerFunc) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, record: r, answer: answer, listener: listener}
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go s.serve(conn)
	}
}

// serve answers the requests of a connection until it ends.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // its requests were answered
	reader := bufio.NewReader(conn)
	for {
		request, err := readRequest(reader)
		if err != nil {
			return // the connection has ended
		}
		if _, err := io.WriteString(conn, s.take(request)); err != nil {
			return
		}
	}
}

// readRequest reads a request whose body has a length.
func readRequest(reader *bufio.Reader) (serverRequest, error) {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return serverRequest{}, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, _, found := strings.Cut(rest, " ")
	if !found {
		return serverRequest{}, fmt.Errorf("malformed request line %q", line)
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return serverRequest{}, err
	}
	length, _ := strconv.Atoi(header.Get("Content-Length")) // 0 without a body
	body := make([]byte, length)
	_, err = io.ReadFull(reader, body)
	return serverRequest{method: method, target: target, header: header, body: body}, err
}

// take runs a request, unless another server is meant (fleetbench wire, "another server has the address").
func (s *server) take(request serverRequest) string {
	id := request.header.Get("Request-Id")
	if expected := request.header.Get("Expect-Instance"); expected != "" && expected != s.id {
		s.record.write("server %s does not run request %s, which is for %s", s.id, id, expected)
		return fmt.Sprintf("HTTP/1.1 %d Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
			http.StatusMisdirectedRequest, id, s.id)
	}
	s.mutex.Lock()
	s.runs = append(s.runs, request)
	s.mutex.Unlock()
	s.record.write("server %s runs request %s: %s %s, body %.60q", s.id, id, request.method, request.target, request.body)
	return s.answer(s, request)
}

// answerWith returns an answer with a status and a body.
func (s *server) answerWith(request serverRequest, status int, contentType, body string) string {
	id := request.header.Get("Request-Id")
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, s.id, id, contentType, len(body), body)
}

// answerDone is the answer of an application server that has done the work.
func answerDone(s *server, request serverRequest) string {
	return s.answerWith(request, http.StatusOK, "text/plain", "done")
}

// ran returns the requests that were run.
func (s *server) ran() []serverRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]serverRequest(nil), s.runs...)
}
