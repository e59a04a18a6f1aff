package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzReadAnswer checks that whatever a peer sends, no more than the bound of heads is read before there is an
// answer or an error.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nLabel: old\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte(strings.Repeat("x", maxHeadBytes+10)))
	f.Fuzz(func(t *testing.T, sent []byte) {
		source := bytes.NewReader(sent)
		c := &conn{heads: &headReader{source: source}, answered: []string{"old"}}
		c.reader = bufio.NewReaderSize(c.heads, bufferSize)
		labels := &Labels{Request: "new", Of: func(response *http.Response) string { return response.Header.Get("Label") }}
		response, err := c.readAnswer(endlessRequest(), labels, func() {})
		const most = maxHeadBytes + maxDuplicates*(maxDuplicateBytes+2*bufferSize) + bufferSize
		if read := len(sent) - source.Len(); read > most {
			t.Errorf("%d bytes were read, want at most %d", read, most)
		}
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body) // a body may be malformed
		_ = response.Body.Close()
	})
}
