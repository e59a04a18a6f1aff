package ledger

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// turnHeader is the first line of a turn's record; the input and the output follow
// unencoded.
type turnHeader struct {
	Previous    string `json:"previous,omitempty"`
	InputBytes  int    `json:"input"`
	OutputBytes int    `json:"output"`
	RetentionMS int64  `json:"retention_ms,omitempty"`
	UsedAtMS    int64  `json:"used_at_ms,omitempty"`
}

// errTurnLength: the length of a turn's record does not match its header.
var errTurnLength = eris.New("ledger: the length of the turn's record does not match its header")

func encodeTurn(entry *turnEntry) ([]byte, error) {
	head, err := json.Marshal(turnHeader{
		Previous:    entry.Previous,
		InputBytes:  len(entry.Input),
		OutputBytes: len(entry.Output),
		RetentionMS: entry.RetentionMS,
		UsedAtMS:    entry.UsedAtMS,
	})
	if err != nil {
		return nil, eris.Wrap(err, "ledger: encode the header of a turn's record")
	}
	record := append(head, '\n')
	record = append(record, entry.Input...)
	return append(record, entry.Output...), nil
}

func decodeTurn(id string, record []byte) (*turnEntry, error) {
	line, text, _ := bytes.Cut(record, []byte("\n"))
	var head turnHeader
	if err := json.Unmarshal(line, &head); err != nil {
		return nil, eris.Wrap(err, "ledger: decode the header of a turn's record")
	}
	if head.InputBytes < 0 || head.OutputBytes < 0 || head.InputBytes+head.OutputBytes != len(text) {
		return nil, errTurnLength
	}
	return &turnEntry{
		KeptTurn: KeptTurn{
			ID:       id,
			Previous: head.Previous,
			Input:    text[:head.InputBytes],
			Output:   text[head.InputBytes:],
		},
		RetentionMS: head.RetentionMS,
		UsedAtMS:    head.UsedAtMS,
	}, nil
}
