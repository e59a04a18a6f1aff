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
	// pieceSize is the size of the pieces in which a bundle is sent. It bounds how long a piece
	// delays other messages on a slow link.
	pieceSize = 32 << 10
	// maxBundleSize is the maximum size of a bundle, and maxContentSize that of its uncompressed
	// content: the maximum size of one answer of the store.
	maxBundleSize  = 8 << 20
	maxContentSize = 8 << 20
	// codecWindowSize is the compression window. It bounds the memory that the codec holds; similar
	// records of routes lie within a few KB.
	codecWindowSize = 256 << 10
)

// errMalformedBundle: the bundle is malformed.
var errMalformedBundle = eris.New("fanout: malformed bundle")

// bundle holds the newest records of all keys that changed in a range of offsets, compressed.
type bundle struct {
	// from is the first offset of the range, end the offset after the last. hash is that of data.
	from, end int64
	hash      string
	data      []byte
}

// bundleHeader is the first line of a bundle's content; the values of the records follow,
// concatenated.
type bundleHeader struct {
	From    int64          `json:"from"`
	End     int64          `json:"end"`
	Records []recordHeader `json:"records"`
}

// recordHeader is a record without its value.
type recordHeader struct {
	Key    string `json:"key"`
	Offset int64  `json:"offset"`
	Size   int    `json:"size"`
}

// codec compresses at the fastest level, with a single goroutine and a small window, since it also
// runs on machines with little memory and a fraction of a core.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(codecWindowSize), zstd.WithEncoderLevel(zstd.SpeedFastest)) // fails only for invalid options
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxContentSize))
	return encoder, decoder
})

// packBundle compresses the records of a range of offsets into a bundle.
func packBundle(from, end int64, records []store.Record) (*bundle, error) {
	head := bundleHeader{From: from, End: end}
	for _, record := range records {
		head.Records = append(head.Records, recordHeader{record.Key, record.Offset, len(record.Value)})
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
	if len(content) > maxContentSize || len(data) > maxBundleSize {
		return nil, eris.Wrapf(errMalformedBundle, "%d bytes exceed the limit", len(content))
	}
	return &bundle{from: from, end: end, hash: hashOf(data), data: data}, nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// unpackBundle checks a bundle against its hash, and returns it together with its records.
func unpackBundle(hash string, data []byte) (*bundle, []store.Record, error) {
	if hashOf(data) != hash {
		return nil, nil, eris.Wrap(errMalformedBundle, "the hash does not match the content")
	}
	_, decoder := codec()
	content, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, nil, eris.Wrap(errMalformedBundle, err.Error())
	}
	line, values, found := bytes.Cut(content, []byte("\n"))
	var head bundleHeader
	if !found || json.Unmarshal(line, &head) != nil {
		return nil, nil, eris.Wrap(errMalformedBundle, "the header line is missing or malformed")
	}
	records, err := head.splitRecords(values)
	if err != nil {
		return nil, nil, err
	}
	return &bundle{from: head.From, end: head.End, hash: hash, data: data}, records, nil
}

// splitRecords splits the values and returns the records. Their offsets must increase and lie in
// the bundle's range.
func (h *bundleHeader) splitRecords(values []byte) ([]store.Record, error) {
	records := make([]store.Record, 0, len(h.Records))
	least := h.From
	for _, r := range h.Records {
		if r.Offset < least || r.Offset >= h.End || r.Size < 0 || r.Size > len(values) {
			return nil, eris.Wrapf(errMalformedBundle, "invalid offset or size of the record at offset %d", r.Offset)
		}
		records = append(records, store.Record{Key: r.Key, Value: values[:r.Size:r.Size], Offset: r.Offset})
		values, least = values[r.Size:], r.Offset+1
	}
	if len(values) > 0 || h.End < h.From {
		return nil, eris.Wrap(errMalformedBundle, "the record sizes do not match the content, or the range is negative")
	}
	return records, nil
}
