package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// observer posts the events of an engine's stream to the shard's queue.
type observer struct {
	active     *activeCall
	generation int
}

// Chunks implements framework.EngineObserver.
func (o *observer) Chunks(chunks []structs.Chunk) {
	o.active.leader.post(func() {
		if o.active.generation == o.generation {
			o.active.leader.chunksArrived(o.active, chunks)
		}
	})
}

// End implements framework.EngineObserver.
func (o *observer) End(end framework.AttemptEnd) {
	o.active.leader.post(func() {
		if o.active.generation == o.generation {
			o.active.stream = nil
			o.active.leader.attemptEnded(o.active, end)
		}
	})
}

// chunksArrived stores and forwards answer text. Text that is already known is
// cut off; after a gap the stream is not used any further.
func (l *leader) chunksArrived(active *activeCall, chunks []structs.Chunk) {
	active.lastProgressAt = l.Clock.Now()
	if active.firstChunkAt.IsZero() {
		active.firstChunkAt = active.lastProgressAt
	}
	fresh := make([]structs.Chunk, 0, len(chunks))
	for _, chunk := range chunks {
		length := int64(active.text.Len())
		end := chunk.Offset + int64(len(chunk.Text))
		switch {
		case chunk.Offset > length:
			l.streamBroken(active)
			return
		case end <= length:
			continue
		}
		text := chunk.Text[length-chunk.Offset:]
		active.text.WriteString(text)
		fresh = append(fresh, structs.Chunk{Offset: length, Text: text})
	}
	if len(fresh) > 0 {
		active.gaps = 0
		active.broadcast(fresh)
	}
}

// maximumGaps bounds how often a stream with a gap is resumed before the call
// moves to another engine.
const maximumGaps = 3

// streamBroken resumes a stream that has a gap, or moves the call to another
// engine after maximumGaps.
func (l *leader) streamBroken(active *activeCall) {
	active.gaps++
	if active.gaps > maximumGaps {
		active.gaps = 0
		l.abandonAttempt(active)
		l.rerun(active, "The engine's stream has a gap.")
		return
	}
	if active.stream != nil {
		active.stream.Detach()
		active.stream = nil
	}
	l.inspect(active)
}
