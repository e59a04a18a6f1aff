package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// initialBodyBuffer bounds the initial allocation for a body, whatever its
// Content-Length.
const initialBodyBuffer = 64 << 10

// readBody reads the request's body within the limits on its size, its time and the
// memory of all bodies. release must be called once the body is no longer used; it is
// never nil.
func (e *exchange) readBody() (body []byte, release func(), refused *problem) {
	limits := e.gateway.Limits
	release, refused = e.gateway.reserveBody(e.r.ContentLength)
	if refused != nil {
		return nil, release, refused
	}
	_ = e.control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(e.r.ContentLength, 0)+bytes.MinRead, initialBodyBuffer)))
	_, err := buffer.ReadFrom(http.MaxBytesReader(e.w, e.r.Body, limits.MaxBodyBytes))
	if err != nil {
		e.w.Header().Set("Connection", "close")
		return nil, release, e.bodyError(err)
	}
	_ = e.control.SetReadDeadline(time.Time{})
	return buffer.Bytes(), release, nil
}

// reserveBody counts a body against the memory limit for all bodies, by its
// Content-Length or else by the largest size allowed.
func (g *Gateway) reserveBody(length int64) (func(), *problem) {
	if length > g.Limits.MaxBodyBytes {
		return func() {}, tooLarge(g.Limits.MaxBodyBytes)
	}
	if length < 0 {
		length = g.Limits.MaxBodyBytes
	}
	if g.bodies.Add(length) > g.Limits.MaxTotalBodyBytes {
		g.bodies.Add(-length)
		return func() {}, refusal(structs.ReasonOverloaded, "body", "The daemon is reading too many bodies.", retryAfterFull)
	}
	return func() { g.bodies.Add(-length) }, nil
}

func (e *exchange) bodyError(err error) *problem {
	var oversized *http.MaxBytesError
	switch {
	case errors.As(err, &oversized):
		return tooLarge(oversized.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		refused := invalid("body", fmt.Sprintf("The body did not arrive within %s.", e.gateway.Limits.BodyTimeout))
		refused.status = http.StatusRequestTimeout
		return refused
	case errors.Is(err, io.ErrUnexpectedEOF):
		return invalid("body", "The body ended early.")
	default:
		return invalid("body", "The body cannot be read.")
	}
}

func tooLarge(limit int64) *problem {
	refused := invalid("body", fmt.Sprintf("The body is larger than %d bytes.", limit))
	refused.status = http.StatusRequestEntityTooLarge
	return refused
}
