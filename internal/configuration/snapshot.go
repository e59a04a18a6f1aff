package configuration

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrBadSnapshot is returned for data that is not the announced snapshot.
var ErrBadSnapshot = eris.New("configuration: bad snapshot")

// maximumSnapshotBytes bounds a decompressed snapshot.
const maximumSnapshotBytes = 256 << 20

// EncodeSnapshot encodes a state as JSON compressed with zstd.
func EncodeSnapshot(state *State) ([]byte, error) {
	text, err := json.Marshal(state)
	if err != nil {
		return nil, eris.Wrap(ErrBadSnapshot, err.Error())
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(ErrBadSnapshot, err.Error())
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(text, nil), nil
}

// DecodeSnapshot decodes a state and verifies it against the announced digest.
func DecodeSnapshot(data []byte, digest uint64) (*State, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maximumSnapshotBytes))
	if err != nil {
		return nil, eris.Wrap(ErrBadSnapshot, err.Error())
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, eris.Wrap(ErrBadSnapshot, err.Error())
	}
	state := NewState()
	if err := json.Unmarshal(text, state); err != nil {
		return nil, eris.Wrap(ErrBadSnapshot, err.Error())
	}
	if len(state.Verdicts) > VerdictWindow || !contiguous(state) {
		return nil, eris.Wrap(ErrBadSnapshot, "verdicts do not end at the offset")
	}
	state.restore()
	if state.Digest() != digest {
		return nil, eris.Wrapf(ErrBadSnapshot, "digest is %x, want %x", state.Digest(), digest)
	}
	return state, nil
}

// contiguous reports whether the verdicts have consecutive offsets that end just
// before Next.
func contiguous(state *State) bool {
	first := state.Next
	if len(state.Verdicts) > 0 {
		first = state.Verdicts[0].Offset
	}
	for i := range state.Verdicts {
		if state.Verdicts[i].Offset != first {
			return false
		}
		first++
	}
	return first == state.Next
}
