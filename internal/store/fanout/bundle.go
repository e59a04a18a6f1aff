package fanout

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// pieceBytes bounds what one message carries of a bundle: 44 KB on the wire, which a link of
	// 30 Mbit/s sends in 12 ms. Other messages on the link wait no longer than that.
	pieceBytes = 32 << 10
	// bundleLimit bounds a bundle, and contentLimit what it unpacks to: the most that one answer
	// of the store has.
	bundleLimit  = 8 << 20
	contentLimit = 8 << 20
	// codecWindow is how far back the codec looks, which bounds the memory that it keeps; records
	// of routes are alike within some KB.
	codecWindow = 256 << 10
)

// errBundle: a bundle that cannot be used.
var errBundle = eris.New("fanout: malformed bundle")

// bundle is the newest records of all keys that changed in a range of offsets, compressed.
type bundle struct {
	// from is the first offset that it covers, end the one behind the last.
	from, end int64
	name      string
	data      []byte
}

// bundleHead is the first line of a bundle; the values follow, one after the other.
type bundleHead struct {
	From    int64        `json:"from"`
	End     int64        `json:"end"`
	Records []recordHead `json:"records"`
}

// recordHead is a record without its value.
type recordHead struct {
	Key    string `json:"key"`
	Offset int64  `json:"offset"`
	Size   int    `json:"size"`
}

// codec compresses at the fastest level, with one goroutine and a small window: daemons of 112 MB
// and a fifth of a core use it. 1.2 MB of the tests' routes become 0.12 MB.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(codecWindow), zstd.WithEncoderLevel(zstd.SpeedFastest)) // it fails for wrong options alone
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(contentLimit))
	return encoder, decoder
})

// packBundle makes a bundle of the records of a range.
func packBundle(from, end int64, records []store.Record) (*bundle, error) {
	head := bundleHead{From: from, End: end}
	for _, record := range records {
		head.Records = append(head.Records, recordHead{record.Key, record.Offset, len(record.Value)})
	}
	content, err := json.Marshal(head)
	if err != nil {
		return nil, eris.Wrap(err, "fanout: pack a bundle")
	}
	content = append(content, '\n')
	for _, record := range records {
		content = append(content, record.Value...)
	}
	encoder, _ := codec()
	data := encoder.EncodeAll(content, nil)
	if len(content) > contentLimit || len(data) > bundleLimit {
		return nil, eris.Wrapf(errBundle, "%d bytes are too many", len(content))
	}
	return &bundle{from: from, end: end, name: nameOf(data), data: data}, nil
}

func nameOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// unpackBundle checks a bundle against its name and returns it with its records.
func unpackBundle(name string, data []byte) (*bundle, []store.Record, error) {
	if nameOf(data) != name {
		return nil, nil, eris.Wrap(errBundle, "it does not have its hash")
	}
	_, decoder := codec()
	content, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, nil, eris.Wrap(errBundle, err.Error())
	}
	line, values, found := bytes.Cut(content, []byte("\n"))
	var head bundleHead
	if !found || json.Unmarshal(line, &head) != nil {
		return nil, nil, eris.Wrap(errBundle, "no head")
	}
	records, err := head.cut(values)
	if err != nil {
		return nil, nil, err
	}
	return &bundle{from: head.From, end: head.End, name: name, data: data}, records, nil
}

// cut takes the values of a bundle's records apart. Their offsets rise and lie in its range.
func (h *bundleHead) cut(values []byte) ([]store.Record, error) {
	records := make([]store.Record, 0, len(h.Records))
	least := h.From
	for _, r := range h.Records {
		if r.Offset < least || r.Offset >= h.End || r.Size < 0 || r.Size > len(values) {
			return nil, eris.Wrapf(errBundle, "record at %d", r.Offset)
		}
		records = append(records, store.Record{Key: r.Key, Value: values[:r.Size:r.Size], Offset: r.Offset})
		values, least = values[r.Size:], r.Offset+1
	}
	if len(values) > 0 || h.End < h.From {
		return nil, eris.Wrap(errBundle, "its records do not fill it")
	}
	return records, nil
}
