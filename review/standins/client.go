package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamGap is after which gap the clients of a stream give it up.
const streamGap = 2 * time.Second

// request is one try of a client.
type request struct {
	id, method, path string
	headers          map[string]string
	body             string
	deadline         time.Duration
	// isStream: the client gives the answer up after a gap.
	isStream bool
}

// result is what a client got. status is 0 if there was no answer.
type result struct {
	status int
	header http.Header
	body   []byte
	// isWhole: the answer came to its end.
	isWhole bool
	err     error
	took    time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends a request on a new connection of its own.
func do(d *daemon, r request) result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	made, err := http.NewRequestWithContext(ctx, r.method, "http://"+d.front+r.path, strings.NewReader(r.body))
	if err != nil {
		return result{err: err}
	}
	made.Host = host
	made.Close = true
	made.Header.Set("Request-Id", r.id)
	made.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for name, value := range r.headers {
		made.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	gap := time.AfterFunc(r.deadline, cancel)
	defer gap.Stop()
	if r.isStream {
		gap.Reset(streamGap)
	}
	response, err := transport.RoundTrip(made)
	if err != nil {
		return result{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	got := result{status: response.StatusCode, header: response.Header}
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		got.body = append(got.body, buffer[:n]...)
		if n > 0 && r.isStream {
			gap.Reset(streamGap)
		}
		if err != nil {
			got.isWhole = err == io.EOF
			if !got.isWhole {
				got.err = err
			}
			got.took = time.Since(began)
			return got
		}
	}
}

// describe returns the outcome for the record.
func (r result) describe() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("no answer after %d ms (%v)", r.took.Milliseconds(), r.err)
	case !r.isWhole:
		return fmt.Sprintf("%d, broken off after %d ms (%v)", r.status, r.took.Milliseconds(), r.err)
	case r.status != http.StatusOK:
		return fmt.Sprintf("%d after %d ms: %.60q", r.status, r.took.Milliseconds(), r.body)
	}
	return fmt.Sprintf("%d, whole after %d ms", r.status, r.took.Milliseconds())
}

// retryAfter returns the Retry-After of an answer, 0 for none.
func (r result) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
