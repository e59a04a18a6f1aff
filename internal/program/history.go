package program

import (
	"container/list"
	"encoding/json"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// sealBytes is how many bytes of messages stand plain at the end of a history
// before they are packed into a segment. Larger segments pack better and leave
// more plain; docs/CAPACITY.md has the figures.
const sealBytes = 16 << 10

// History is a program's conversation without the template's system prompt.
// All but its newest messages are packed in segments, turn by turn as they come.
// A history that is read is unpacked and stays so while the program is warm.
// Neither shows from outside: equal conversations are equal histories and have
// the same JSON, an array of messages. The zero value is empty.
type History struct {
	segments []segment
	// tail holds the messages behind the segments.
	tail      []structs.Message
	tailBytes int64
	// packedBytes is the size of all segments.
	packedBytes int64
	// warmth is the shard's list of warm histories; without one a history is
	// unpacked for each reading.
	cache *unpackedCache
	// unpacked holds every message while the history is warm.
	unpacked      []structs.Message
	unpackedBytes int64
	usedAt        time.Time
	// place is the history's entry in the warmth's order.
	cacheEntry *list.Element
}

// Len returns the number of messages.
func (h *History) Len() int { return h.sealedLen() + len(h.tail) }

// sealed returns the number of messages in segments.
func (h *History) sealedLen() int {
	if len(h.segments) == 0 {
		return 0
	}
	return h.segments[len(h.segments)-1].end
}

// Append adds messages at the end.
func (h *History) Append(messages ...structs.Message) {
	for _, message := range messages {
		h.appendOne(message)
	}
}

func (h *History) appendOne(message structs.Message) {
	size := messageBytes(message)
	h.tail = append(h.tail, message)
	h.tailBytes += size
	if h.unpacked != nil {
		h.unpacked = append(h.unpacked, message)
		h.unpackedBytes += size
		h.cache.memory.unpackedBytes.Add(size)
	}
	if h.tailBytes >= sealBytes {
		h.seal()
	}
}

// seal packs the tail into a segment. Segments end at the same messages on every
// replica, since each message is weighed as it comes.
func (h *History) seal() {
	sealed := segment{end: h.Len(), data: pack(h.tail)}
	h.segments = append(h.segments, sealed)
	h.packedBytes += int64(len(sealed.data))
	h.tail = nil
	h.tailBytes = 0
}

// All returns every message and makes the history warm. The caller must not
// change the slice.
func (h *History) All() []structs.Message {
	if len(h.segments) == 0 {
		return h.tail
	}
	if h.unpacked != nil {
		h.cache.touch(h)
		return h.unpacked
	}
	all := h.unpackFrom(0)
	if h.cache != nil {
		h.unpacked = all
		h.cache.add(h)
	}
	return all
}

// From returns the messages from a place on. It leaves a cold history cold.
func (h *History) From(place int) []structs.Message {
	switch {
	case place >= h.sealedLen():
		return h.tail[place-h.sealedLen():]
	case h.unpacked != nil:
		return h.unpacked[place:]
	default:
		return h.unpackFrom(place)
	}
}

// At returns one message.
func (h *History) At(place int) structs.Message {
	if place >= h.sealedLen() || h.unpacked != nil {
		return h.From(place)[0]
	}
	start := 0
	for _, sealed := range h.segments {
		if place < sealed.end {
			return unpack(sealed.data)[place-start]
		}
		start = sealed.end
	}
	return structs.Message{}
}

// unpackFrom reads the segments from the one that holds a place on.
func (h *History) unpackFrom(place int) []structs.Message {
	messages := make([]structs.Message, 0, h.Len()-place)
	start := 0
	for _, sealed := range h.segments {
		if sealed.end > place {
			messages = append(messages, unpack(sealed.data)[max(place-start, 0):]...)
		}
		start = sealed.end
	}
	return append(messages, h.tail...)
}

// cool forgets the unpacked copy.
func (h *History) dropUnpacked() {
	h.unpacked = nil
	h.unpackedBytes = 0
}

// frozen returns a copy that later messages do not change.
func (h *History) frozen() History {
	return History{
		segments:    slices.Clip(h.segments),
		tail:        slices.Clip(h.tail),
		tailBytes:   h.tailBytes,
		packedBytes: h.packedBytes,
	}
}

// Bytes returns what the history takes in memory, without what it takes more
// while it is warm.
func (h *History) Bytes() int64 {
	return h.packedBytes + h.tailBytes + int64(cap(h.segments))*segmentOverhead
}

// Equal tells whether two histories have the same messages.
func (h History) Equal(other History) bool {
	return slices.EqualFunc(h.From(0), other.From(0), sameMessage)
}

// IsZero tells whether there is no message; JSON leaves it out then.
func (h History) IsZero() bool { return h.Len() == 0 }

// MarshalJSON gives the messages as an array.
func (h History) MarshalJSON() ([]byte, error) { return json.Marshal(h.From(0)) }

// UnmarshalJSON reads an array of messages.
func (h *History) UnmarshalJSON(data []byte) error {
	var messages []structs.Message
	if err := json.Unmarshal(data, &messages); err != nil {
		return err
	}
	*h = History{}
	h.Append(messages...)
	return nil
}
