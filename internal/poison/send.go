package poison

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Limit is how many back ends may end under one content before it is refused.
const Limit = 3

// Space is the store's space with the sends of suspected contents.
const Space = "poison-sends"

// Partition returns the partition with the sends of suspected contents.
func Partition() store.Partition { return store.Partition{Space: Space} }

// State is the state of a Send.
type State string

const (
	// StateReserved: a daemon sends the content, or waits for its turn to send it.
	StateReserved State = "reserved"
	// StateEnded: the back end ended.
	StateEnded State = "ended"
	// StateAnswered: a back end answered. Sends of earlier generations do not count any more,
	// whenever the store takes them.
	StateAnswered State = "answered"
	// StateAnsweredBefore: back ends had answered the content shortly before the first of the ends.
	StateAnsweredBefore State = "answered_before"
)

// Send is one send of a suspected content to a back end, as the store keeps it.
type Send struct {
	State  State            `json:"state"`
	Daemon structs.DaemonID `json:"daemon"`
	// Instance is the back end: the one that ended, or the one that a reservation is meant for.
	Instance string `json:"instance,omitempty"`
	About
	// AtMS is the daemon's time of day at the last change of the state, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Generation is how often the content had been answered after it was suspected, as far as the
	// daemon knew when it sent it.
	Generation int64 `json:"generation,omitempty"`
	// HoldMS is for how many milliseconds a reservation holds. A daemon that has not released it
	// by then is gone.
	HoldMS int64 `json:"hold_ms,omitempty"`
}

// About describes the request of a send, for operators.
type About struct {
	Request string `json:"request,omitempty"`
	Route   string `json:"route,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
}

// hold returns for how long a reservation holds, at most maxHold.
func (s *Send) hold() time.Duration {
	return time.Duration(min(max(s.HoldMS, 0), maxHold.Milliseconds())) * time.Millisecond
}

// sendKey identifies a send in the store: the content's digest and a part that differs between its
// sends.
type sendKey string

// keySeparator separates the parts of a sendKey. No digest contains it.
const keySeparator = "/"

// reservedMark begins the second part of a reserved send's key.
const reservedMark = "r"

// newSendKey returns the key of a reserved send with a random number.
func newSendKey(content Digest, number uint64) sendKey {
	return sendKey(string(content) + keySeparator + reservedMark + strconv.FormatUint(number, shapeBase))
}

// endKey returns the key of a send without a reservation. It is the same for all such sends to one
// run of a back end, which can end only once.
func endKey(content Digest, instance string) sendKey {
	return sendKey(string(content) + keySeparator + "e" + strconv.FormatUint(xxhash.Sum64String(instance), shapeBase))
}

// answeredKey returns the key of the answer that began a generation. It differs by generation, as a late
// append of an earlier one must not replace it.
func answeredKey(content Digest, generation int64) sendKey {
	return sendKey(string(content) + keySeparator + "a" + strconv.FormatInt(generation, shapeBase))
}

// answeredBeforeKey returns the key of the fact that the content had been answered before a generation's
// ends.
func answeredBeforeKey(content Digest, generation int64) sendKey {
	return sendKey(string(content) + keySeparator + "b" + strconv.FormatInt(generation, shapeBase))
}

// isReserved reports whether the send was reserved before it was sent.
func (k sendKey) isReserved() bool {
	_, rest, _ := strings.Cut(string(k), keySeparator)
	return strings.HasPrefix(rest, reservedMark)
}

// content returns the digest in the key, "" if it has none.
func (k sendKey) content() Digest {
	digest, _, found := strings.Cut(string(k), keySeparator)
	if !found {
		return ""
	}
	return Digest(digest)
}

// ErrMalformed: a record of the store is not a send.
var ErrMalformed = eris.New("poison: malformed record of a send")

// record returns a send as a record of the store.
func (s Send) record(key sendKey) (store.Record, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return store.Record{}, eris.Wrap(err, "poison: encode a send")
	}
	return store.Record{Key: string(key), Value: value}, nil
}

// parseSend parses a record of the store.
func parseSend(record store.Record) (sendKey, Send, error) {
	key := sendKey(record.Key)
	if key.content().shape() == "" {
		return "", Send{}, eris.Wrapf(ErrMalformed, "key %.80q", record.Key)
	}
	var send Send
	if err := json.Unmarshal(record.Value, &send); err != nil {
		return "", Send{}, eris.Wrapf(ErrMalformed, "%.80q: %v", record.Key, err)
	}
	switch send.State {
	case StateReserved, StateEnded, StateAnswered, StateAnsweredBefore:
	default:
		return "", Send{}, eris.Wrapf(ErrMalformed, "%.80q: state %.20q", record.Key, send.State)
	}
	return key, send, nil
}
