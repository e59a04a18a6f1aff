package replication

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// errMalformedArchive is returned when a part of a shard's archive cannot be
// encoded or decoded.
var errMalformedArchive = eris.New("replication: malformed part of an archive")

// maxArchivePieceBytes limits the data of one piece, so that an entry of the
// log stays under 256 KB with the data in base64.
const maxArchivePieceBytes = 160 << 10

// archiveStream returns the stream of one shard's archive.
func archiveStream(shard structs.ShardNumber) framework.StreamName {
	return framework.StreamName(fmt.Sprintf("%s-%d", framework.StreamSnapshots, shard))
}

// chainID identifies a snapshot and the deltas that follow it, by the epoch of
// the leader that writes them and the last index in the snapshot.
type chainID struct {
	Epoch structs.Epoch `json:"epoch"`
	Index structs.Index `json:"index"`
}

func (c chainID) compare(other chainID) int {
	return cmp.Or(cmp.Compare(c.Epoch, other.Epoch), cmp.Compare(c.Index, other.Index))
}

// archivePiece is one entry of a shard's archive. Part 0 of a chain is the
// snapshot, the parts after it contain the log's committed entries since.
type archivePiece struct {
	Chain  chainID `json:"chain"`
	Part   int     `json:"part"`
	Piece  int     `json:"piece"`
	Pieces int     `json:"pieces"`
	// Data is a section of the part, which is compressed JSON.
	Data []byte `json:"data"`
}

// operation returns the operation ID for the append of a piece; a piece written
// twice counts once.
func (p *archivePiece) operation(shard structs.ShardNumber) string {
	return fmt.Sprintf("snapshots/%d/%d-%d/%d/%d", shard, p.Chain.Epoch, p.Chain.Index, p.Part, p.Piece)
}

// archiveBase is the content of part 0: the state up to an entry.
type archiveBase struct {
	Index structs.Index `json:"index"`
	// Epoch is the epoch of the entry at Index.
	Epoch structs.Epoch   `json:"epoch"`
	State json.RawMessage `json:"state"`
}

// encodePart compresses the content of a part and splits it into pieces.
func encodePart(chain chainID, part int, content any) ([]archivePiece, int, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return nil, 0, eris.Wrap(errMalformedArchive, err.Error())
	}
	encoder, _ := codec()
	packed := encoder.EncodeAll(data, nil)
	count := (len(packed) + maxArchivePieceBytes - 1) / maxArchivePieceBytes
	pieces := make([]archivePiece, 0, count)
	for data := range slices.Chunk(packed, maxArchivePieceBytes) {
		pieces = append(pieces, archivePiece{Chain: chain, Part: part, Piece: len(pieces), Pieces: count, Data: data})
	}
	return pieces, len(packed), nil
}

// decodePart decodes the content of a part whose pieces are complete.
func decodePart(pieces map[int][]byte, content any) error {
	var packed []byte
	for piece := range len(pieces) {
		packed = append(packed, pieces[piece]...)
	}
	_, decoder := codec()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return eris.Wrap(errMalformedArchive, err.Error())
	}
	if err := json.Unmarshal(data, content); err != nil {
		return eris.Wrap(errMalformedArchive, err.Error())
	}
	return nil
}

// chain has the pieces that were read of one chain.
type chain struct {
	id    chainID
	parts map[int]*archivedPart
}

type archivedPart struct {
	pieces map[int][]byte
	count  int
}

func (c *chain) addPiece(p archivePiece) {
	if p.Piece < 0 || p.Piece >= p.Pieces {
		return
	}
	part := c.parts[p.Part]
	if part == nil {
		part = &archivedPart{pieces: map[int][]byte{}, count: p.Pieces}
		c.parts[p.Part] = part
	}
	part.pieces[p.Piece] = p.Data
}

// isComplete reports whether all pieces of a part were read.
func (c *chain) isComplete(part int) bool {
	read := c.parts[part]
	return read != nil && len(read.pieces) == read.count
}

// archivedState is the latest state that an archive has of a shard.
type archivedState struct {
	base    archiveBase
	entries []Entry
}

// last returns the index and epoch of the latest entry in the state.
func (s *archivedState) last() (structs.Index, structs.Epoch) {
	if len(s.entries) == 0 {
		return s.base.Index, s.base.Epoch
	}
	entry := s.entries[len(s.entries)-1]
	return entry.Index, entry.Epoch
}

// state returns the snapshot and the deltas after it, up to the first delta
// that is missing or not contiguous.
func (c *chain) state() (*archivedState, error) {
	state := &archivedState{}
	if err := decodePart(c.parts[0].pieces, &state.base); err != nil {
		return nil, err
	}
	for part := 1; c.isComplete(part); part++ {
		var entries []Entry
		if err := decodePart(c.parts[part].pieces, &entries); err != nil {
			return state, nil //nolint:nilerr // the entries before it are valid
		}
		for _, entry := range entries {
			if index, _ := state.last(); entry.Index != index+1 {
				return state, nil
			}
			state.entries = append(state.entries, entry)
		}
	}
	return state, nil
}
