package fanout

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
)

// Request asks a neighbour for records newer than those of the sender, or for another piece of a
// bundle.
type Request struct {
	Number    uint64          `json:"n"`
	Partition store.Partition `json:"p"`
	// From is the first offset wanted, or fromAll for the newest records of all keys.
	From int64 `json:"f"`
	// Bundle is the hash of a bundle, and At the position in it from which the next piece is
	// wanted. If Bundle is empty, the neighbour answers once it has newer records.
	Bundle string `json:"b,omitempty"`
	At     int    `json:"a,omitempty"`
	// WaitMS is how long the answer may be held while there are no newer records, in milliseconds; 0
	// if the sender does not limit it.
	WaitMS int64 `json:"w,omitempty"`
	// Told are records that the store has not taken. A request with them wants no answer; a daemon
	// that does not know of them answers that it is unable. Keep asks the receiver to store them.
	Told []store.Record `json:"told,omitempty"`
	Keep bool           `json:"keep,omitempty"`
}

// fromAll requests the newest records of all keys. A daemon that does not know of it answers that it
// is unable.
const fromAll = -1

// wantsAll reports whether the newest records of all keys are wanted.
func (r *Request) wantsAll() bool { return r.From < 0 }

// wait returns how long the answer may be held, 0 for no limit.
func (r *Request) wait() time.Duration { return time.Duration(r.WaitMS) * time.Millisecond }

// result is what a Response contains.
type result string

const (
	// resultUnchanged: there are no records newer than the sender's.
	resultUnchanged result = "unchanged"
	// resultPiece: a piece of a bundle.
	resultPiece result = "piece"
	// resultUnable: the neighbour does not know the records that follow the sender's.
	resultUnable result = "unable"
)

// Response answers a Request.
type Response struct {
	Number uint64 `json:"n"`
	Result result `json:"r"`
	// AsOfMS is the time as of which the records are current, in milliseconds relative to the
	// arrival of the request; usually negative. It is set in the first piece of a bundle only,
	// since later pieces may belong to a bundle that is no longer the newest.
	AsOfMS int64 `json:"as,omitempty"`
	// Bundle is the SHA-256 of the whole bundle and Size its length in bytes. Data is the piece at
	// position At.
	Bundle string `json:"b,omitempty"`
	Size   int    `json:"size,omitempty"`
	At     int    `json:"a,omitempty"`
	Data   []byte `json:"d,omitempty"`
}

// asOf converts AsOfMS to a time on the requester's clock. It counts from when the request was
// sent, which is before it arrived, so the records are never taken to be newer than they are. The
// result is not later than now.
func (r *Response) asOf(sent, now time.Time) time.Time {
	asOf := sent.Add(time.Duration(r.AsOfMS) * time.Millisecond)
	if asOf.After(now) {
		return now
	}
	return asOf
}

// ageAt returns the AsOfMS, rounded down, of records that were current at asOf, for a request that
// arrived at the given time.
func ageAt(asOf, arrived time.Time) int64 {
	return int64(asOf.Sub(arrived).Truncate(time.Millisecond)/time.Millisecond) - 1
}

// MessageKind implements peer.Message.
func (*Request) MessageKind() peer.Kind { return "records.request" }

// MessageKind implements peer.Message.
func (*Response) MessageKind() peer.Kind { return "records.response" }

func init() {
	peer.Register(peer.ClassData, &Request{})
	peer.Register(peer.ClassData, &Response{})
}
