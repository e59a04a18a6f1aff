package httpconn

import (
	"errors"
	"strings"
	"testing"
)

func TestHeadsAreThoseOfHTTP(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.0 599 It's\tfine, \xe4\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length:2\r\nX!#$%&'*+-.^_`|~09az:\r\nX: a : b\t\xe4 \r\n\r\n",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n",
	} {
		if err := checkHead([]byte(head)); err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
	for _, head := range []string{
		"HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 099 None\r\n\r\n", "HTTP/1.1 600 None\r\n\r\n", "HTTP/1.1 101 Other\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.2 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "\r\n", "",
		"HTTP/1.1 200 O\x00K\r\n\r\n", "HTTP/1.1 200 O\rK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n\r\n", "HTTP/1.1 200 OK\r\nA\t: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\n A: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", "HTTP/1.1 200 OK\r\n: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\x00: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA\x7f: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA\xe4: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\r\n\r\n", "HTTP/1.1 200 OK\r\nA(b): c\r\n\r\n",
		"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		if err := checkHead([]byte(head)); !errors.Is(err, ErrMalformedHead) {
			t.Errorf("%q: got %v, want ErrMalformedHead", head, err)
		}
	}
}

// TestHeadsBehindEachOtherAreCheckedEachAlone checks heads that arrive at once, in one buffer.
func TestHeadsBehindEachOtherAreCheckedEachAlone(t *testing.T) {
	hint := "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("a", 3000) + "\r\n\r\n"
	final := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 3000) + "\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok"
	p := NewPool(0)
	s := newRawServer(t, hint+hint+final, hint+final, hint+strings.Replace(final, "200", "000", 1), "no HTTP\r\n\r\n")
	for i, want := range []string{"ok", "ok", "", ""} {
		body, err := exchangeBody(t, p, s.address, "b")
		if body != want || (err == nil) != (want != "") {
			t.Errorf("answer %d: got %q, %v", i, body, err)
		}
	}
	if malformed := p.Malformed(); malformed != 2 {
		t.Errorf("%d malformed heads are counted, want two", malformed)
	}
}
