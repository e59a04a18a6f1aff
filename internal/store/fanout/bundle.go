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
	// pieceBytes is the size of the pieces in which a bundle is sent: 44 KB on the wire, which take
	// 12 ms on a link of 30 Mbit/s. Other messages on the link are delayed by no more than that.
	pieceBytes = 32 << 10
	// bundleLimit is the maximum size of a bundle, and contentLimit that of its uncompressed
	// content: the maximum size of one answer of the store.
	bundleLimit  = 8 << 20
	contentLimit = 8 << 20
	// codecWindow is the compression window. It bounds the memory that the codec holds; similar
	// records of routes lie within a few KB.
	codecWindow = 256 << 10
)

// errBundle: the bundle is malformed.
var errBundle = eris.New("fanout: malformed bundle")

// bundle holds the newest records of all keys that changed in a range of offsets, compressed.
type bundle struct {
	// from is the first offset of the range, end the offset after the last. name is the hash of
	// data.
	from, end int64
	name      string
	data      []byte
}

// bundleHead is the first line of a bundle's content; the values of the records follow,
// concatenated.
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

// codec compresses at the fastest level, with a single goroutine and a small window, since it also
// runs on machines with 112 MB of memory and a fifth of a core.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(codecWindow), zstd.WithEncoderLevel(zstd.SpeedFastest)) // fails only for invalid options
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(contentLimit))
	return encoder, decoder
})

// packBundle compresses the records of a range of offsets into a bundle.
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
		return nil, eris.Wrapf(errBundle, "%d bytes exceed the limit", len(content))
	}
	return &bundle{from: from, end: end, name: nameOf(data), data: data}, nil
}

func nameOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// unpackBundle checks a bundle against its hash, and returns it together with its records.
func unpackBundle(name string, data []byte) (*bundle, []store.Record, error) {
	if nameOf(data) != name {
		return nil, nil, eris.Wrap(errBundle, "the hash does not match the content")
	}
	_, decoder := codec()
	content, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, nil, eris.Wrap(errBundle, err.Error())
	}
	line, values, found := bytes.Cut(content, []byte("\n"))
	var head bundleHead
	if !found || json.Unmarshal(line, &head) != nil {
		return nil, nil, eris.Wrap(errBundle, "the header line is missing or malformed")
	}
	records, err := head.cut(values)
	if err != nil {
		return nil, nil, err
	}
	return &bundle{from: head.From, end: head.End, name: name, data: data}, records, nil
}

// cut splits the values and returns the records. Their offsets must increase and lie in the
// bundle's range.
func (h *bundleHead) cut(values []byte) ([]store.Record, error) {
	records := make([]store.Record, 0, len(h.Records))
	least := h.From
	for _, r := range h.Records {
		if r.Offset < least || r.Offset >= h.End || r.Size < 0 || r.Size > len(values) {
			return nil, eris.Wrapf(errBundle, "invalid offset or size of the record at offset %d", r.Offset)
		}
		records = append(records, store.Record{Key: r.Key, Value: values[:r.Size:r.Size], Offset: r.Offset})
		values, least = values[r.Size:], r.Offset+1
	}
	if len(values) > 0 || h.End < h.From {
		return nil, eris.Wrap(errBundle, "the record sizes do not match the content, or the range is negative")
	}
	return records, nil
}
