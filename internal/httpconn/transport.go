package httpconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clientConnectTimeout bounds one attempt of a client to connect.
	clientConnectTimeout = 2 * time.Second
	// defaultPort is the port of an address that names none.
	defaultPort = "80"
)

// Errors of a Transport.
var (
	// ErrBodyTooLong: the body of a response exceeds Transport.MaxBodyBytes.
	ErrBodyTooLong = eris.New("httpconn: the body of the response is too long")
	// ErrScheme: the scheme of a request's URL is not http.
	ErrScheme = eris.Wrap(ErrNotSent, "httpconn: the scheme is not http")
)

// Transport is an http.RoundTripper that uses a Pool, so that the clients of net/http check answers as the Pool
// does. It does not repeat requests.
type Transport struct {
	Pool *Pool
	// MaxBodyBytes, if not 0, makes RoundTrip read a body of up to that length to its end. So decoders of the body
	// never get a part of it.
	MaxBodyBytes int64
}

// NewStreamClient returns a client of answers whose bodies are read as they arrive.
func NewStreamClient() *http.Client {
	return &http.Client{Transport: &Transport{Pool: NewPool(clientConnectTimeout)}}
}

// NewClient returns a client of answers whose bodies have at most maxBodyBytes. Its requests fail after a timeout,
// 0 for none.
func NewClient(maxBodyBytes int64, timeout time.Duration) *http.Client {
	transport := &Transport{Pool: NewPool(clientConnectTimeout), MaxBodyBytes: maxBodyBytes}
	return &http.Client{Transport: transport, Timeout: timeout}
}

// RoundTrip implements http.RoundTripper. The error wraps ErrNotSent, ErrBroken or ErrBodyTooLong.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.send(request)
	if err != nil {
		if request.Body != nil {
			_ = request.Body.Close() // no more of it is sent
		}
		return nil, err
	}
	if t.MaxBodyBytes == 0 {
		return response, nil
	}
	if err := t.readBody(response); err != nil {
		return nil, err
	}
	return response, nil
}

// send sends a request. If that succeeds, its body is closed once it was written, which may be after the response.
func (t *Transport) send(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme != "http" {
		return nil, eris.Wrap(ErrScheme, request.URL.Scheme)
	}
	return t.Pool.Do(request.Context(), addressOf(request), Bounds{}, request)
}

// readBody replaces the body of a response by its bytes.
func (t *Transport) readBody(response *http.Response) error {
	defer func(body io.Closer) { _ = body.Close() }(response.Body) // it was read to its end, or its connection is closed
	body, err := io.ReadAll(io.LimitReader(response.Body, t.MaxBodyBytes+1))
	switch {
	case err != nil && errors.Is(err, ErrBroken):
		return err
	case err != nil:
		return eris.Wrapf(ErrBroken, "read: %v", err)
	case int64(len(body)) > t.MaxBodyBytes:
		return eris.Wrapf(ErrBodyTooLong, "it has more than %d bytes", t.MaxBodyBytes)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// addressOf returns the address that a request is sent to.
func addressOf(request *http.Request) string {
	if request.URL.Port() != "" {
		return request.URL.Host
	}
	return net.JoinHostPort(request.URL.Hostname(), defaultPort)
}
