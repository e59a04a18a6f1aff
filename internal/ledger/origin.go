package ledger

import "time"

// A caller may resume a stream with another request at any daemon, and only the service and
// the software version that began the stream may go on with it. So a turn whose stream can be
// resumed tells the shard's holder where that is to begin. The origin is part of the
// program's account: it comes with the turn's reservation, goes to the store with the
// account's next record, and to a successor with the account. A holder that does not know an
// origin says so; the stream then cannot be resumed by guessing.

// MaxIDBytes is the longest ID of a program or of a turn: the keys of the store's records
// contain them behind a prefix.
const MaxIDBytes = 200

const (
	// originFlushDelay is how long the origin of a stream of a service with several software
	// versions may wait to be appended together with other changes.
	originFlushDelay = 30 * time.Millisecond
	// originsLimit bounds the streams of a program whose origins are kept.
	originsLimit = 64
	// MaxOriginTTL bounds how long the origin of a stream is kept.
	MaxOriginTTL = 10 * time.Minute
)

// Origin is what alone may go on with a stream.
type Origin struct {
	// Service is the service of the instance that began the stream, and Version that
	// instance's software version.
	Service string `json:"s"`
	Version string `json:"v,omitempty"`
	// Revision counts how often the origin was changed, which is possible before the stream's
	// first event.
	Revision int `json:"r,omitempty"`
}

// streamOrigin is the origin of one stream in an account.
type streamOrigin struct {
	Origin
	// UntilMS is the reading of the shard's clock until which the origin is kept, in
	// milliseconds.
	UntilMS int64 `json:"u"`
}

// isRevised reports whether the turn's origin replaces an earlier one, which the store may
// have.
func (t *Turn) isRevised() bool { return t.Origin != nil && t.Origin.Revision > 0 }

// noteOrigin keeps the origin of a turn's stream, unless a later revision is known. nowMS is
// the reading of the shard's clock.
func (a *account) noteOrigin(turn Turn, nowMS int64) {
	a.dropOrigins(nowMS)
	if turn.Origin == nil {
		return
	}
	if known, isKnown := a.Origins[turn.ID]; isKnown && known.Revision >= turn.Origin.Revision {
		return
	}
	if a.Origins == nil {
		a.Origins = map[string]streamOrigin{}
	}
	if len(a.Origins) >= originsLimit {
		a.dropFirstOrigin()
	}
	kept := min(time.Duration(turn.OriginTTLMS)*time.Millisecond, MaxOriginTTL)
	a.Origins[turn.ID] = streamOrigin{Origin: *turn.Origin, UntilMS: nowMS + kept.Milliseconds()}
}

// dropOrigins drops the origins that are not kept any longer.
func (a *account) dropOrigins(nowMS int64) {
	for turn, known := range a.Origins {
		if known.UntilMS < nowMS {
			delete(a.Origins, turn)
		}
	}
}

// dropFirstOrigin drops the origin that would be dropped first.
func (a *account) dropFirstOrigin() {
	first := ""
	for turn, known := range a.Origins {
		if first == "" || known.UntilMS < a.Origins[first].UntilMS {
			first = turn
		}
	}
	delete(a.Origins, first)
}

// originOf returns the origin of the stream that a turn began, nil if it is not known.
func (a *account) originOf(turn string) *Origin {
	known, isKnown := a.Origins[turn]
	if !isKnown {
		return nil
	}
	return &known.Origin
}

// originOf returns the origin of the stream that a turn resumes, nil if it is not known.
func (s *state) originOf(turn Turn) *Origin {
	entry := s.accounts[turn.Program]
	if entry == nil {
		return nil
	}
	return entry.account.originOf(turn.Resumes)
}

// flushOrigin makes the origin of a turn that was granted without an append durable soon:
// within originFlushDelay if the turn asks for that, otherwise together with the next changes.
func (h *holder) flushOrigin(turn Turn) {
	switch {
	case turn.Origin == nil:
	case turn.RecordSoon:
		h.flushWithin(originFlushDelay)
	default:
		h.flushWithin(settleDelay)
	}
}
