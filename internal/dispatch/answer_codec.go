package dispatch

import (
	"bytes"

	"github.com/mintpulley/mintpulley/internal/jsontext"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Fixed parts of the JSON form of Answer.
const (
	answerSubmission = `{"submission":`
	answerChunks     = `,"chunks":[`
	chunkOffset      = `{"o":`
	chunkText        = `,"t":`
	answerEnd        = `]}`
)

// AppendJSON implements peer.Appender: an Answer is sent for each token.
func (m *Answer) AppendJSON(buffer []byte) []byte {
	buffer = jsontext.AppendField(buffer, answerSubmission, int64(m.Submission))
	buffer = append(buffer, answerChunks...)
	for i, chunk := range m.Chunks {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		buffer = jsontext.AppendField(buffer, chunkOffset, chunk.Offset)
		buffer = append(buffer, chunkText...)
		buffer = jsontext.AppendString(buffer, chunk.Text)
		buffer = append(buffer, '}')
	}
	return append(buffer, answerEnd...)
}

// ScanJSON implements peer.Scanner for the form that AppendJSON writes.
func (m *Answer) ScanJSON(body []byte) bool {
	rest, ok := bytes.CutPrefix(body, []byte(answerSubmission))
	if !ok {
		return false
	}
	submission, rest, ok := jsontext.ScanInteger(rest)
	if !ok {
		return false
	}
	if rest, ok = bytes.CutPrefix(rest, []byte(answerChunks)); !ok {
		return false
	}
	chunks := make([]structs.Chunk, 0, 1)
	for len(rest) > 0 && rest[0] == '{' {
		var chunk structs.Chunk
		if chunk, rest, ok = scanChunk(rest); !ok {
			return false
		}
		chunks = append(chunks, chunk)
		if len(rest) > 1 && rest[0] == ',' && rest[1] == '{' {
			rest = rest[1:]
		}
	}
	if string(rest) != answerEnd {
		return false
	}
	m.Submission = SubmissionID(submission)
	m.Chunks = chunks
	return true
}

func scanChunk(data []byte) (chunk structs.Chunk, rest []byte, ok bool) {
	if rest, ok = bytes.CutPrefix(data, []byte(chunkOffset)); !ok {
		return chunk, nil, false
	}
	if chunk.Offset, rest, ok = jsontext.ScanInteger(rest); !ok {
		return chunk, nil, false
	}
	if rest, ok = bytes.CutPrefix(rest, []byte(chunkText)); !ok {
		return chunk, nil, false
	}
	if chunk.Text, rest, ok = jsontext.ScanString(rest); !ok {
		return chunk, nil, false
	}
	rest, ok = bytes.CutPrefix(rest, []byte("}"))
	return chunk, rest, ok
}
