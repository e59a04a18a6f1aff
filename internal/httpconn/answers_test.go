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

// newLabelledServer answers each request with its label. At each request it first sends the answer to
// the request before on the connection once more.
func newLabelledServer(t *testing.T, padding int) (address string) {
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
				reader := bufio.NewReader(conn)
				for latest := ""; ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					text := request.Header.Get(labelHeader) + strings.Repeat(" ", padding)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n\r\n%s",
						labelHeader, request.Header.Get(labelHeader), len(text), text)
					_, _ = io.WriteString(conn, latest+answer)
					latest = answer
				}
			}()
		}
	}()
	return listener.Addr().String()
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
func TestAnswerInExcessDoesNotCostTheNextRequestItsAnswer(t *testing.T) {
	address := newLabelledServer(t, 0)
	p := NewPool(time.Second)
	for i := range 3 * rememberedAnswers {
		label := fmt.Sprint("r", i)
		if got, err := sendLabelled(t, p, address, label, Bounds{}); err != nil || got != label {
			t.Fatalf("request %s: got %q, %v", label, got, err)
		}
	}
	if dials, excess := p.Dials(), p.Excess(); dials != 1 || excess != 3*rememberedAnswers-1 {
		t.Errorf("%d connections, %d answers in excess, want 1 and %d", dials, excess, 3*rememberedAnswers-1)
	}
}

// An answer in excess that is too long to be passed over breaks the connection, and the next request goes
// on another one.
func TestLongAnswerInExcessBreaksTheConnection(t *testing.T) {
	address := newLabelledServer(t, maxExcessBytes)
	p := NewPool(time.Second)
	if got, err := sendLabelled(t, p, address, "first", Bounds{}); err != nil || got != "first" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := sendLabelled(t, p, address, "second", Bounds{}); err == nil {
		t.Errorf("an answer behind a long one in excess: %q", got)
	}
	if got, err := sendLabelled(t, p, address, "third", Bounds{}); err != nil || got != "third" {
		t.Errorf("on another connection: %q, %v", got, err)
	}
}

// Guards against a process that is taken for one which does not tell who it is, because a late second
// answer to an earlier request comes in the place of its identity.
func TestAnswerInExcessIsNotTakenForAnIdentity(t *testing.T) {
	address := newLabelledServer(t, 0)
	p := NewPool(time.Second)
	if _, err := sendLabelled(t, p, address, "first", Bounds{}); err != nil {
		t.Fatal(err)
	}
	question := newRequest("")
	asked := &Peer{Identity: "me", Question: question, Read: func(response *http.Response) string {
		return "told:" + response.Header.Get(labelHeader)
	}}
	if _, err := sendLabelled(t, p, address, "second", Bounds{Peer: asked}); err == nil || !strings.Contains(err.Error(), `"told:"`) {
		t.Errorf("got %v, want the identity of the answer without a label", err)
	}
}
