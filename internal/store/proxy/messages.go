package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
)

// call is the name of one of the store's calls.
type call string

const (
	callAppend call = "append"
	callNewest call = "newest"
	callRead   call = "read"
	callTrim   call = "trim"
)

// Request asks another daemon to call the store.
type Request struct {
	Number uint64 `json:"n"`
	Call   call   `json:"c"`
	// Purpose is the purpose of the call, for metrics and logs.
	Purpose   store.Purpose   `json:"u,omitempty"`
	Partition store.Partition `json:"p"`
	Writer    store.Writer    `json:"w,omitzero"`
	Records   []store.Record  `json:"r,omitempty"`
	// From is the offset to read from, or the offset before which to trim.
	From int64 `json:"f,omitempty"`
	// After is the key after which a page of newest records starts.
	After string `json:"a,omitempty"`
	// WaitMS is how long the store may wait for a change, and WithinMS how long the requester waits
	// for the answer, in milliseconds.
	WaitMS   int64 `json:"wait,omitempty"`
	WithinMS int64 `json:"within"`
}

// Response answers a Request.
type Response struct {
	Number  uint64         `json:"n"`
	Result  result         `json:"r"`
	Detail  string         `json:"d,omitempty"`
	Records []store.Record `json:"l,omitempty"`
	Next    int64          `json:"o,omitempty"`
	// More: a page of newest records is not the last one.
	More bool `json:"m,omitempty"`
}

// RecoveryNotice tells another daemon that the store answers again after an outage.
type RecoveryNotice struct{}

// MessageKind implements peer.Message.
func (*Request) MessageKind() peer.Kind { return "store.request" }

// MessageKind implements peer.Message.
func (*Response) MessageKind() peer.Kind { return "store.response" }

// MessageKind implements peer.Message.
func (*RecoveryNotice) MessageKind() peer.Kind { return "store.returned" }

func init() {
	peer.Register(peer.ClassData, &Request{})
	peer.Register(peer.ClassData, &Response{})
	peer.Register(peer.ClassControl, &RecoveryNotice{})
}

// isKnown reports whether the request names a known call.
func (r *Request) isKnown() bool {
	return r.Call == callAppend || r.Call == callNewest || r.Call == callRead || r.Call == callTrim
}

// wait returns how long the store may wait for a change.
func (r *Request) wait() time.Duration { return time.Duration(r.WaitMS) * time.Millisecond }

// perform makes the call on a store.
func (r *Request) perform(ctx context.Context, s store.Store) outcome {
	ctx = store.WithPurpose(ctx, r.Purpose)
	var got outcome
	switch r.Call {
	case callAppend:
		got.err = s.Append(ctx, r.Partition, r.Writer, r.Records)
	case callNewest:
		var page store.Page
		page, got.err = s.NewestPage(ctx, r.Partition, r.After)
		got.records, got.next, got.more = page.Records, page.End, page.More
	case callRead:
		got.records, got.next, got.err = s.Read(ctx, r.Partition, r.From, r.wait())
	case callTrim:
		got.err = s.Trim(ctx, r.Partition, r.From)
	}
	return got
}

// result is the result of a call made for another daemon.
type result string

const (
	resultOK          result = "ok"
	resultUnavailable result = "unavailable"
	resultFull        result = "full"
	resultUnknown     result = "unknown"
	resultFenced      result = "fenced"
	resultSequence    result = "sequence"
	resultTrimmed     result = "trimmed"
	resultMalformed   result = "malformed"
	resultRejected    result = "rejected"
)

// errorOf maps each result except resultOK to its error.
var errorOf = map[result]error{
	resultUnavailable: store.ErrUnavailable,
	resultFull:        store.ErrFull,
	resultUnknown:     store.ErrOutcomeUnknown,
	resultFenced:      store.ErrFenced,
	resultSequence:    store.ErrSequence,
	resultTrimmed:     store.ErrTrimmed,
	resultMalformed:   store.ErrMalformed,
	resultRejected:    store.ErrRejected,
}

func resultOf(err error) result {
	if err == nil {
		return resultOK
	}
	if errors.Is(err, store.ErrFull) { // it wraps ErrUnavailable
		return resultFull
	}
	for result, known := range errorOf {
		if errors.Is(err, known) {
			return result
		}
	}
	return resultUnknown
}

// outcome converts a response to the return values of the call. A result that this version does not
// know says nothing about whether the call took effect.
func (r *Response) outcome() outcome {
	got := outcome{records: r.Records, next: r.Next, more: r.More}
	if r.Result == resultOK {
		return got
	}
	known, found := errorOf[r.Result]
	if !found {
		known = store.ErrOutcomeUnknown
	}
	got.err = eris.Wrapf(known, "proxy: %s", r.Detail)
	return got
}
