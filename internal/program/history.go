package program

import (
	"container/list"
	"encoding/json"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// sealBytes is how many bytes of messages collect uncompressed at the end of a history
// before they are packed into a segment. Larger segments compress better but leave
// more uncompressed; see docs/CAPACITY.md.
const sealBytes = 16 << 10

// History is a program's conversation without the template's system prompt. All but
// its newest messages are kept in compressed segments. Reading it with All unpacks the
// whole history, and the unpacked copy is cached. Neither is visible to callers: equal
// conversations are equal histories with the same JSON, an array of messages. The zero
// value is empty.
type History struct {
	segments []segment
	// tail holds the messages after the segments.
	tail      []structs.Message
	tailBytes int64
	// packedBytes is the compressed size of all segments.
	packedBytes int64
	// cache lists the shard's unpacked histories; without one a history is unpacked on
	// each read.
	cache *unpackedCache
	// unpacked holds every message while the history is in the cache.
	unpacked      []structs.Message
	unpackedBytes int64
	usedAt        time.Time
	// cacheEntry is the history's entry in the cache's LRU list, nil if it is not
	// unpacked.
	cacheEntry *list.Element
}

// Len returns the number of messages.
func (h *History) Len() int { return h.sealedLen() + len(h.tail) }

// sealedLen returns the number of messages in segments.
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
// replica, since the tail's size is checked after each message.
func (h *History) seal() {
	sealed := segment{end: h.Len(), data: pack(h.tail)}
	h.segments = append(h.segments, sealed)
	h.packedBytes += int64(len(sealed.data))
	h.tail = nil
	h.tailBytes = 0
}

// All returns every message and keeps the unpacked copy in the cache. The caller must
// not change the slice.
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

// From returns the messages from an index on. It does not add the history to the
// cache.
func (h *History) From(index int) []structs.Message {
	switch {
	case index >= h.sealedLen():
		return h.tail[index-h.sealedLen():]
	case h.unpacked != nil:
		return h.unpacked[index:]
	default:
		return h.unpackFrom(index)
	}
}

// At returns the message at an index.
func (h *History) At(index int) structs.Message {
	if index >= h.sealedLen() || h.unpacked != nil {
		return h.From(index)[0]
	}
	start := 0
	for _, sealed := range h.segments {
		if index < sealed.end {
			return unpack(sealed.data)[index-start]
		}
		start = sealed.end
	}
	return structs.Message{}
}

// unpackFrom returns the messages from an index on, unpacking only the segments that
// it needs.
func (h *History) unpackFrom(index int) []structs.Message {
	messages := make([]structs.Message, 0, h.Len()-index)
	start := 0
	for _, sealed := range h.segments {
		if sealed.end > index {
			messages = append(messages, unpack(sealed.data)[max(index-start, 0):]...)
		}
		start = sealed.end
	}
	return append(messages, h.tail...)
}

// dropUnpacked drops the unpacked copy.
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

// Bytes returns the memory that the history takes, without its unpacked copy.
func (h *History) Bytes() int64 {
	return h.packedBytes + h.tailBytes + int64(cap(h.segments))*segmentOverhead
}

// Equal reports whether two histories have the same messages.
func (h History) Equal(other History) bool {
	return slices.EqualFunc(h.From(0), other.From(0), sameMessage)
}

// IsZero reports whether there is no message; JSON omits the history then.
func (h History) IsZero() bool { return h.Len() == 0 }

// MarshalJSON encodes the messages as an array.
func (h History) MarshalJSON() ([]byte, error) { return json.Marshal(h.From(0)) }

// UnmarshalJSON decodes an array of messages.
func (h *History) UnmarshalJSON(data []byte) error {
	var messages []structs.Message
	if err := json.Unmarshal(data, &messages); err != nil {
		return err
	}
	*h = History{}
	h.Append(messages...)
	return nil
}
