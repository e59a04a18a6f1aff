package program

import (
	"encoding/binary"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// segment is a compressed run of messages.
type segment struct {
	// end is the index in the history after the segment's last message.
	end  int
	data []byte
}

const (
	// segmentOverhead is the size of a segment without its data, in bytes.
	segmentOverhead = 32
	// messageOverhead is the size of a message without its text, in bytes.
	messageOverhead = 88
	// toolCallOverhead is the size of a tool call without its text, in bytes.
	toolCallOverhead = 48
	// codecWindow bounds the compressor's memory; segments are smaller.
	codecWindow = 128 << 10
	// codecConcurrency bounds how many shards compress or decompress at once.
	codecConcurrency = 4
)

// codec is shared by all shards of the process, since its working memory is large
// compared with most histories. Creating it fails only for options out of range, and
// these are constant.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, _ := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(codecConcurrency),
		zstd.WithWindowSize(codecWindow),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest))
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(codecConcurrency))
	return encoder, decoder
})

// pack compresses messages.
func pack(messages []structs.Message) []byte {
	plain := binary.AppendUvarint(nil, uint64(len(messages)))
	for i := range messages {
		plain = appendMessage(plain, &messages[i])
	}
	encoder, _ := codec()
	packed := encoder.EncodeAll(plain, nil)
	return append(make([]byte, 0, len(packed)), packed...)
}

func appendMessage(to []byte, message *structs.Message) []byte {
	to = appendText(to, message.Role)
	to = appendText(to, message.Content)
	to = appendText(to, message.Name)
	to = appendText(to, message.ToolCallID)
	to = binary.AppendUvarint(to, uint64(len(message.ToolCalls)))
	for _, call := range message.ToolCalls {
		to = appendText(to, call.ID)
		to = appendText(to, call.Name)
		to = appendText(to, call.Arguments)
	}
	return to
}

func appendText(to []byte, text string) []byte {
	to = binary.AppendUvarint(to, uint64(len(text)))
	return append(to, text...)
}

// unpack decodes what pack wrote in this process. An undecodable segment means
// corrupted memory: it panics, since going on would silently lose part of a history.
func unpack(data []byte) []structs.Message {
	_, decoder := codec()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		panic("program: damaged segment of a history: " + err.Error())
	}
	reader := segmentReader{rest: string(plain)}
	messages := make([]structs.Message, reader.uvarint())
	for i := range messages {
		messages[i] = reader.message()
	}
	return messages
}

// segmentReader decodes a decompressed segment. The decoded strings share the
// segment's memory.
type segmentReader struct{ rest string }

func (r *segmentReader) uvarint() int {
	var value uint64
	for shift := 0; ; shift += 7 {
		next := r.rest[0]
		r.rest = r.rest[1:]
		value |= uint64(next&0x7f) << shift
		if next < 0x80 {
			return int(value)
		}
	}
}

func (r *segmentReader) text() string {
	length := r.uvarint()
	text := r.rest[:length]
	r.rest = r.rest[length:]
	return text
}

func (r *segmentReader) message() structs.Message {
	message := structs.Message{
		Role:       r.text(),
		Content:    r.text(),
		Name:       r.text(),
		ToolCallID: r.text(),
	}
	if calls := r.uvarint(); calls > 0 {
		message.ToolCalls = make([]structs.ToolCall, calls)
		for i := range message.ToolCalls {
			message.ToolCalls[i] = structs.ToolCall{ID: r.text(), Name: r.text(), Arguments: r.text()}
		}
	}
	return message
}

// messageBytes returns the memory that a message takes, in bytes.
func messageBytes(message structs.Message) int64 {
	size := messageOverhead + len(message.Role) + len(message.Content) + len(message.Name) + len(message.ToolCallID)
	for _, call := range message.ToolCalls {
		size += toolCallOverhead + len(call.ID) + len(call.Name) + len(call.Arguments)
	}
	return int64(size)
}
