package relay

import "github.com/mintpulley/mintpulley/internal/instance"

// Where a stream was begun that is resumed: by the same answer, or by another request of
// the caller.
const (
	resumedInAnswer = "answer"
	resumedByCaller = "caller"
)

// Software versions of a resumed stream, compared with the one that began it.
const (
	resumedAtSame    = "same"
	resumedAtOther   = "other"
	resumedAtUnknown = "unknown"
)

// noteResumption logs and counts that an instance goes on with a stream that has sent events
// before. For a new stream it does nothing.
func (c *callHandler) noteResumption(target instance.Instance, state *streamState) {
	if state.lastID == "" {
		return
	}
	line := c.logger.Info().Str("after", state.lastID).Str("instance", target.ID).Str("version", target.Version)
	versions := resumedAtUnknown
	if version := c.origin.version; version != nil {
		line = line.Str("began_at_version", *version)
		versions = resumedAtSame
		if *version != target.Version {
			versions = resumedAtOther
		}
	}
	if state.beganAt == nil {
		line.Str("resumes", c.call.Resumes).Msg("Stream is resumed for its caller.")
		c.relay.Metrics.resumedAt(resumedByCaller, versions)
		return
	}
	line.Str("began_at", state.beganAt.ID).Msg("Stream is resumed within its answer.")
	c.relay.Metrics.resumedAt(resumedInAnswer, versions)
}
