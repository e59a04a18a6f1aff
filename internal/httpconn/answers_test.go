package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const labelHeader = "Label"

// listen serves each connection to an address until the test ends.
func listen(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// listenAndRepeat answers each request on a connection. At each, it first sends the answer to the request
// before once more.
func listenAndRepeat(t *testing.T, answerTo func(request *http.Request) string) (address string) {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for latest := ""; ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			answer := answerTo(request)
			_, _ = io.WriteString(conn, latest+answer)
			latest = answer
		}
	})
}

// answerOf returns an answer with a label.
func answerOf(label, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n%s", labelHeader, label, len(text), text)
}

// newLabelledServer answers each request with its label and some spaces, and repeats its answers.
func newLabelledServer(t *testing.T, padding int) (address string) {
	t.Helper()
	return listenAndRepeat(t, func(request *http.Request) string {
		label := request.Header.Get(labelHeader)
		return answerOf(label, label+strings.Repeat(" ", padding))
	})
}

// sendLabelled sends a request with a label and returns the answer.
func sendLabelled(t *testing.T, p *Pool, address, label string, bounds Bounds) (string, error) {
	t.Helper()
	bounds.Labels = &Labels{Request: label, Of: func(response *http.Response) string { return response.Header.Get(labelHeader) }}
	request := newRequest("b")
	request.Header.Set(labelHeader, label)
	response, err := p.Do(t.Context(), address, bounds, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return strings.TrimSpace(string(body)), err
}

// Guards against a request that fails, though it was answered, because a late second answer to an earlier
// one comes first.
func TestDuplicateAnswerDoesNotCostTheNextRequestItsAnswer(t *testing.T) {
	address := newLabelledServer(t, 0)
	p := NewPool(time.Second)
	for i := range 3 * rememberedAnswers {
		label := fmt.Sprint("r", i)
		if got, err := sendLabelled(t, p, address, label, Bounds{}); err != nil || got != label {
			t.Fatalf("request %s: got %q, %v", label, got, err)
		}
	}
	if dials, duplicates := p.Dials(), p.Duplicates(); dials != 1 || duplicates != 3*rememberedAnswers-1 {
		t.Errorf("%d connections, %d duplicate answers, want 1 and %d", dials, duplicates, 3*rememberedAnswers-1)
	}
}

// A duplicate answer that is too long to be skipped breaks the connection, and the next request goes
// on another one.
func TestLongDuplicateAnswerBreaksTheConnection(t *testing.T) {
	address := newLabelledServer(t, maxDuplicateBytes)
	p := NewPool(time.Second)
	if got, err := sendLabelled(t, p, address, "first", Bounds{}); err != nil || got != "first" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := sendLabelled(t, p, address, "second", Bounds{}); err == nil {
		t.Errorf("an answer behind a long one in duplicates: %q", got)
	}
	if got, err := sendLabelled(t, p, address, "third", Bounds{}); err != nil || got != "third" {
		t.Errorf("on another connection: %q, %v", got, err)
	}
}

// Guards against a process that is taken for one which does not tell who it is, because a late second
// answer to an earlier request comes in the place of its identity.
func TestDuplicateAnswerIsNotTakenForAnIdentity(t *testing.T) {
	address := newLabelledServer(t, 0)
	p := NewPool(time.Second)
	if _, err := sendLabelled(t, p, address, "first", Bounds{}); err != nil {
		t.Fatal(err)
	}
	var told []string
	asked := &Peer{Identity: "me", Question: newRequest(""), Read: func(response *http.Response) string {
		told = append(told, response.Header.Get(labelHeader))
		return "me"
	}}
	if _, err := sendLabelled(t, p, address, "second", Bounds{Peer: asked}); err != nil {
		t.Error(err)
	}
	if len(told) != 1 || told[0] != "" {
		t.Errorf("the identity was read from answers with the labels %q, want one without", told)
	}
}
