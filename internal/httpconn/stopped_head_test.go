package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// stopHeader of a request tells after how many bytes of its answer the connection ends.
const stopHeader = "Stop-After"

// soundHeads are heads of answers with the body "ok", by their framing.
var soundHeads = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\n",
	"chunks":          "HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection":      "HTTP/1.1 200 OK\r\nX: y\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":        "HTTP/1.0 200 OK\r\nX: y\r\n\r\n",
	"line feeds":      "HTTP/1.1 200 OK\nX: y\nContent-Length: 2\n\n",
	"informational":   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	"length of zero":  "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n",
	"no body by rule": "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
	"no fields":       "HTTP/1.1 200 OK\r\n\r\n",
}

// listenAndStop answers each request without stopHeader by "ok", and each other one by a part of a head, after which
// it closes the connection, or resets it.
func listenAndStop(t *testing.T, head string, isReset bool) (address string) {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			after := request.Header.Get(stopHeader)
			if after == "" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok")
				continue
			}
			count, _ := strconv.Atoi(after) // the test writes numbers
			_, _ = io.WriteString(conn, head[:count])
			if isReset {
				time.Sleep(time.Millisecond) // lets the part arrive before the reset drops it
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	})
}

// exchangeWhole sends a request with a body and reads the answer to its end.
func exchangeWhole(t *testing.T, pool *Pool, address string, header http.Header, body string) error {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	response, err := pool.Do(context.Background(), address, Bounds{}, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end, or reading failed
	_, err = io.ReadAll(response.Body)
	return err
}

// TestHeadThatStopsIsNoAnswer cuts heads at each byte: a part of a head was reported elsewhere to pass for an answer
// without a body.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	upload := strings.Repeat("u", 1<<20) // more than the server's kernel takes, and the server reads none
	for name, head := range soundHeads {
		for how, c := range map[string]struct {
			isReset, isKept bool
			body            string
		}{
			"closed": {}, "reset": {isReset: true}, "kept": {isKept: true}, "kept and reset": {isKept: true, isReset: true},
			"during an upload": {body: upload},
		} {
			t.Run(name+"/"+how, func(t *testing.T) {
				t.Parallel()
				address := listenAndStop(t, head, c.isReset)
				for count := range len(head) {
					pool := NewPool(time.Second)
					if c.isKept {
						if err := exchangeWhole(t, pool, address, nil, ""); err != nil {
							t.Fatal(err)
						}
					}
					if err := exchangeWhole(t, pool, address, http.Header{stopHeader: {strconv.Itoa(count)}}, c.body); err == nil {
						t.Errorf("%q was taken for a whole answer", head[:count])
					}
				}
			})
		}
	}
}

// TestHeadInManyPiecesIsAnAnswer checks that what makes a head whole is its end, not how it arrives.
func TestHeadInManyPiecesIsAnAnswer(t *testing.T) {
	for name, head := range soundHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := "ok"
			switch {
			case strings.Contains(head, "chunked"):
				body = "2\r\nok\r\n0\r\n\r\n"
			case strings.Contains(head, "Length: 0"), strings.Contains(head, "204"):
				body = ""
			}
			address := listen(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for _, piece := range strings.SplitAfter(head+body, "") {
					_, _ = io.WriteString(conn, piece) // each in a packet of its own, as a rule
				}
			})
			if err := exchangeWhole(t, NewPool(time.Second), address, nil, ""); err != nil {
				t.Error(err)
			}
		})
	}
}
