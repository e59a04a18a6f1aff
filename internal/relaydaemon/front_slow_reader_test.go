package relaydaemon

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// longAnswer is larger than all buffers on the way to a caller.
var longAnswer = strings.Repeat("0123456789abcdef", 8<<10)

// newLongAnswerTest returns a server of longAnswer, over connections that buffer nothing.
func newLongAnswerTest(t *testing.T) (d *drainTest, ended <-chan error) {
	writes := make(chan error, 1)
	d = &drainTest{pipeListener: newPipeListener()}
	d.server = newFrontServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, longAnswer)
		writes <- err
	})}, newFrontListener(d.pipeListener, 0, nil), neverRedirects)
	t.Cleanup(d.server.close)
	return d, writes
}

// TestCallerThatReadsNothingIsCutOff checks that an answer that nobody takes is not held for as long
// as its caller keeps the connection open.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ended := newLongAnswerTest(t)
		c := d.dial(t)
		c.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		began := time.Now()
		select {
		case err := <-ended:
			if took := time.Since(began); err == nil || took != writeStallTimeout {
				t.Errorf("the write ended after %s with %v, want %s and an error", took, err, writeStallTimeout)
			}
		case <-time.After(time.Hour):
			t.Error("the answer is still held after an hour")
		}
	})
}

// TestSlowCallerGetsItsAnswer checks that a caller that reads a kilobyte a second is not cut off.
func TestSlowCallerGetsItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ended := newLongAnswerTest(t)
		c := d.dial(t)
		c.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		read := 0
		for piece := make([]byte, 1000); read < len(longAnswer); time.Sleep(time.Second) {
			n, err := response.Body.Read(piece)
			if err != nil && read+n < len(longAnswer) {
				t.Fatalf("cut off after %d bytes: %v", read, err)
			}
			read += n
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
