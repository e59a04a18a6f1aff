package configuration

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrBadSnapshot: the bytes are not the snapshot that was told of.
var ErrBadSnapshot = eris.New("configuration: bad snapshot")

// snapshotMemory bounds an unpacked snapshot, in bytes.
const maximumSnapshotBytes = 256 << 20

// EncodeSnapshot packs a state. Key hashes do not compress; everything else
// repeats from tenant to tenant.
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

// DecodeSnapshot unpacks a state and checks it against the digest that was
// told of.
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

// contiguous reports whether there is one verdict per entry up to Next.
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
