package peer

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/jsontext"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Appender is implemented by the few messages that are sent once per token and encode their own
// JSON.
type Appender interface {
	// AppendJSON appends the body as encoding/json would encode it, or an equivalent.
	AppendJSON(buffer []byte) []byte
}

// Scanner is implemented by messages that decode their own JSON.
type Scanner interface {
	// ScanJSON decodes a body and reports whether it supports the body's form. If not, some fields
	// may have been set, and encoding/json decodes the body.
	ScanJSON(body []byte) bool
}

// envelope is the JSON line on the wire.
type envelope struct {
	From structs.DaemonID `json:"from"`
	To   structs.DaemonID `json:"to"`
	Kind Kind             `json:"kind"`
	Body json.RawMessage  `json:"body"`
}

// Parts of a line as Append encodes it.
var (
	partFrom = []byte(`{"from":"`)
	partTo   = []byte(`,"to":"`)
	partKind = []byte(`,"kind":"`)
	partBody = []byte(`,"body":`)
)

// Encode returns the JSON line of a message, including the newline.
func Encode(from, to structs.DaemonID, message Message) ([]byte, error) {
	return Append(nil, from, to, message)
}

// Append appends the JSON line of a message, including the newline. On an error it returns the
// buffer unchanged.
func Append(buffer []byte, from, to structs.DaemonID, message Message) ([]byte, error) {
	line := append(buffer, partFrom[:len(partFrom)-1]...)
	line = jsontext.AppendString(line, string(from))
	line = append(line, partTo[:len(partTo)-1]...)
	line = jsontext.AppendString(line, string(to))
	line = append(line, partKind[:len(partKind)-1]...)
	line = jsontext.AppendString(line, string(message.MessageKind()))
	line = append(line, partBody...)
	if appender, able := message.(Appender); able {
		line = appender.AppendJSON(line)
		return append(line, '}', '\n'), nil
	}
	body, err := json.Marshal(message)
	if err != nil {
		return buffer, eris.Wrapf(err, "peer: encode %s", message.MessageKind())
	}
	line = append(line, body...)
	return append(line, '}', '\n'), nil
}

// Decode decodes one JSON line. The error is ErrMalformed or ErrUnknownKind.
func Decode(line []byte) (from, to structs.DaemonID, message Message, err error) {
	var d Decoder
	return d.Decode(line)
}

// Decoder decodes the lines of one connection. It caches the sender and the receiver, which nearly
// all lines share. It is not safe for concurrent use.
type Decoder struct{ from, to structs.DaemonID }

// Decode decodes one JSON line; the result does not refer to the line. The error is ErrMalformed or
// ErrUnknownKind.
func (d *Decoder) Decode(line []byte) (from, to structs.DaemonID, message Message, err error) {
	head, known := splitLine(line)
	if !known {
		return decodeGeneric(line)
	}
	entry, registered := lookup(head.kind)
	if !registered {
		return "", "", nil, eris.Wrapf(ErrUnknownKind, "%q", head.kind)
	}
	message = entry.new()
	if decodeBody(head.body, message) != nil {
		return decodeGeneric(line)
	}
	if string(head.from) != string(d.from) {
		d.from = structs.DaemonID(head.from)
	}
	if string(head.to) != string(d.to) {
		d.to = structs.DaemonID(head.to)
	}
	return d.from, d.to, message, nil
}

func lookup(kind []byte) (registration, bool) {
	registryMutex.RLock()
	defer registryMutex.RUnlock()
	entry, registered := registry[Kind(kind)]
	return entry, registered
}

func decodeBody(body []byte, message Message) error {
	if scanner, able := message.(Scanner); able && scanner.ScanJSON(body) {
		return nil
	}
	if err := json.Unmarshal(body, message); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// decodeGeneric decodes a line in any form of JSON.
func decodeGeneric(line []byte) (from, to structs.DaemonID, message Message, err error) {
	var e envelope
	if err := json.Unmarshal(line, &e); err != nil {
		return "", "", nil, eris.Wrap(ErrMalformed, err.Error())
	}
	entry, registered := lookup([]byte(e.Kind))
	if !registered {
		return "", "", nil, eris.Wrapf(ErrUnknownKind, "%q", e.Kind)
	}
	message = entry.new()
	if err := decodeBody(e.Body, message); err != nil {
		return "", "", nil, err
	}
	return e.From, e.To, message, nil
}

// lineParts are the parts of a line, as slices of it.
type lineParts struct {
	from, to, kind, body []byte
}

// splitLine splits a line in the form that Append encodes, without decoding the body. Lines whose
// strings have escapes or non-ASCII characters are left to decodeGeneric.
func splitLine(line []byte) (lineParts, bool) {
	var head lineParts
	rest, found := bytes.CutPrefix(line, partFrom)
	if !found {
		return head, false
	}
	for _, part := range []struct {
		name *[]byte
		next []byte
	}{{&head.from, partTo}, {&head.to, partKind}, {&head.kind, partBody}} {
		end := bytes.IndexByte(rest, '"')
		if end < 0 || !isPlain(rest[:end]) {
			return head, false
		}
		*part.name = rest[:end]
		if rest, found = bytes.CutPrefix(rest[end+1:], part.next); !found {
			return head, false
		}
	}
	rest = bytes.TrimRight(rest, "\r\n")
	head.body, found = bytes.CutSuffix(rest, []byte("}"))
	return head, found && len(head.body) > 0
}

// isPlain reports whether a JSON string has neither escapes nor non-ASCII characters.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '\\' || b > '~' {
			return false
		}
	}
	return true
}
