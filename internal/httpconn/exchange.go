package httpconn

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	address string
	conn    *conn
	stop    func() bool
	// written receives the result of writing the request, and keeps it for the next one who asks.
	written chan error
	inline  bool
	// unlimitedUnacknowledged is set if the request is so long that the connection must have no
	// limit on unacknowledged bytes.
	unlimitedUnacknowledged bool
	// labels tells the answers on the connection apart, nil if they have no labels.
	labels   *Labels
	finished sync.Once
}

// start writes the request and reads the response header.
func (e *exchange) start(request *http.Request) (*http.Response, error) {
	e.inline = request.ContentLength >= 0 && request.ContentLength <= maxInlineBody
	if e.unlimitedUnacknowledged = request.ContentLength >= minLongBody; e.unlimitedUnacknowledged {
		e.conn.limitUnacknowledged(0)
	}
	if e.inline {
		before := e.conn.sent
		if err := e.write(request); err != nil {
			return nil, eris.Wrapf(writeError(err, e.conn.sent-before), "write: %v", err)
		}
		e.written <- nil
	} else {
		go func() { e.written <- e.write(request) }()
	}
	response, err := e.conn.readAnswer(request, e.labels, e.pool.countDuplicate)
	if err != nil {
		e.pool.countBadHead(err)
		return nil, eris.Wrapf(ErrBroken, "read: %v", err)
	}
	response.Body = &body{source: response.Body, exchange: e, response: response}
	return response, nil
}

// writeError maps an error of writing a request, of which the kernel accepted taken bytes. If it
// accepted none, nothing has left this machine.
func writeError(err error, taken int64) error {
	if taken == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		return ErrResetUnused
	}
	return ErrBroken
}

func (e *exchange) write(request *http.Request) error {
	if err := writeRequest(e.conn.writer, request); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// finish returns the connection to the pool if the request was written and the response read
// completely, and nothing follows the response.
func (e *exchange) finish(response *http.Response) {
	e.finished.Do(func() {
		idle := idleTime(response)
		if !e.stop() || idle == 0 || e.conn.reader.Buffered() > 0 || !e.isWritten() {
			e.close()
			return
		}
		if e.unlimitedUnacknowledged {
			e.conn.limitUnacknowledged(unacknowledgedTimeout)
		}
		if e.labels != nil {
			e.conn.noteAnswered(e.labels.Request)
		}
		e.pool.putIdle(e.address, e.conn, idle)
	})
}

func (e *exchange) isWritten() bool {
	select {
	case err := <-e.written:
		e.written <- err
		return err == nil
	default:
		return false
	}
}

// discard closes the connection.
func (e *exchange) discard() {
	e.finished.Do(func() {
		e.stop()
		e.close()
	})
}

func (e *exchange) close() {
	_ = e.conn.Close()
	e.pool.release(e.address)
}

// body is a response body whose Close ends the exchange.
type body struct {
	source   io.ReadCloser
	exchange *exchange
	response *http.Response
	whole    bool
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.source.Read(buffer)
	if !errors.Is(err, io.EOF) || b.whole {
		return n, err
	}
	if failure := b.exchange.confirmEnd(b.response); failure != nil {
		return n, failure
	}
	if failure := checkTrailer(b.response.Trailer); failure != nil {
		return n, failure
	}
	b.whole = true
	return n, err
}

// Close returns the connection to the pool, or closes it if the response was not read completely.
func (b *body) Close() error {
	if b.whole {
		b.exchange.finish(b.response)
	} else {
		b.exchange.discard()
	}
	return nil
}
