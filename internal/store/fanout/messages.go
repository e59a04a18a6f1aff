package fanout

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
)

// Request asks a neighbour for newer records than the asker's, or for one more piece of a bundle.
type Request struct {
	Number    uint64          `json:"n"`
	Partition store.Partition `json:"p"`
	// From is the offset from which records are wanted.
	From int64 `json:"f"`
	// Bundle and At name a bundle and the byte of it to go on from; without them the neighbour
	// answers once it has news.
	Bundle string `json:"b,omitempty"`
	At     int    `json:"a,omitempty"`
}

// result tells what a Response brings.
type result string

const (
	// resultUnchanged: there are no newer records than the asker's.
	resultUnchanged result = "unchanged"
	// resultPiece: a part of a bundle.
	resultPiece result = "piece"
	// resultUnable: the neighbour cannot tell what follows the asker's records.
	resultUnable result = "unable"
)

// Response answers a Request.
type Response struct {
	Number uint64 `json:"n"`
	Result result `json:"r"`
	// AsOfMS is when what is told was the newest, in milliseconds after the request arrived;
	// mostly below 0. It comes with the first piece of a bundle and means nothing with others,
	// which may be of a bundle that is not the newest any more.
	AsOfMS int64 `json:"as,omitempty"`
	// Bundle is the SHA-256 of the bundle's Size bytes, in which Data stands at byte At.
	Bundle string `json:"b,omitempty"`
	Size   int    `json:"size,omitempty"`
	At     int    `json:"a,omitempty"`
	Data   []byte `json:"d,omitempty"`
}

// asOf turns the answer's age into a time of the asker, who sent the request at a time: not
// later than it arrived, so the age is not told too low. No answer is of the time to come.
func (r *Response) asOf(sent, now time.Time) time.Time {
	asOf := sent.Add(time.Duration(r.AsOfMS) * time.Millisecond)
	if asOf.After(now) {
		return now
	}
	return asOf
}

// ageAt is the AsOfMS of records that were the newest as of a time, to a request that arrived
// at a time; rounded down.
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
