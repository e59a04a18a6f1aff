package httpconn

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// uploadEndTime is how long a response that ends with its connection waits for the rest of the request to be
// written. A peer that has closed the connection answers what still arrives by a reset, one round trip later.
const uploadEndTime = 100 * time.Millisecond

// endsWithConnection reports whether only the end of the connection tells where the body of a response ends.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// confirmEnd returns an error if the connection failed, although its reader got io.EOF as the end of the
// response. The kernel reports the failure of a connection, such as a reset, only once: if the writer of the
// request got it, the reader sees an orderly end.
func (e *exchange) confirmEnd(response *http.Response) error {
	if !endsWithConnection(response) {
		return nil // a body that is cut off is told from its length or its last chunk
	}
	err := e.endWriting()
	if err == nil || errors.Is(e.conn.writeError, os.ErrDeadlineExceeded) {
		return nil
	}
	return eris.Wrapf(ErrBroken, "read: the connection failed while the request was being written: %v", err)
}

// endWriting waits for the request to be written, for at most uploadEndTime, and then stops its writer, which
// gets os.ErrDeadlineExceeded. It returns the writer's result.
func (e *exchange) endWriting() error {
	var err error
	timer := time.NewTimer(uploadEndTime)
	defer timer.Stop()
	select {
	case err = <-e.written:
	case <-timer.C:
		_ = e.conn.SetWriteDeadline(time.Now()) // fails if the connection is closed, which stops the writer, too
		err = <-e.written
	}
	e.written <- err
	return err
}
