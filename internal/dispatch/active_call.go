package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// stage is how far a call has come in this leader's memory.
type stage int

const (
	// stageProposed: its acceptance is being recorded.
	stageProposed stage = iota
	// stageWaiting: accepted; calls of the program before it are not settled.
	stageWaiting
	// stageWaitingForQuota: waits for a slice of the tenant's quota.
	stageWaitingForQuota
	// stageQueued: waits for an engine.
	stageQueued
	// stageRecording: the intent is being recorded.
	stageRecording
	// stageRunning: sent; its stream is read.
	stageRunning
	// stageInspecting: sent, and the back end is asked what became of it.
	stageInspecting
	// stageSettling: the outcome is being recorded.
	stageSettling
	// stageFinished: its outcome is known, perhaps from the end of its program.
	// Records of it that are still under way have no effect.
	stageFinished
)

// attachment is one caller's daemon that follows a call.
type attachment struct {
	daemon     structs.DaemonID
	submission SubmissionID
}

// activeCall is a call without an outcome, at its shard's leader.
type activeCall struct {
	leader      *leader
	key         structs.ProgramKey
	call        *structs.Call
	stage       stage
	attachments []attachment
	// text is the answer so far.
	text strings.Builder
	// resumeText is answer text that a caller had before this leader.
	deliveredText string
	// gaps counts the resumed streams in a row that began behind text.
	gaps int

	item       *schedule.Item
	assignment *schedule.Assignment
	// moved is set once the attempt's cache transfer was asked for.
	transferRequested bool
	avoid             []structs.EngineID
	stream            framework.Stream
	// exchange counts attempts and inspections here; callbacks of former
	// ones are ignored.
	generation   int
	startedAt    time.Time
	firstChunkAt time.Time
	// progressAt is when the back end last showed progress.
	lastProgressAt time.Time

	inspectingSince time.Time
	inspectDelay    time.Duration
	reportedUnknown bool
	// disproved is set when the recorded attempt certainly did not run.
	disproved bool
	// mayHaveRun is set once any attempt could have had an effect.
	mayHaveRun  bool
	cancelled   bool
	detachTimer clock.Timer
	// sentBefore is set when a caller says that another copy of the call may
	// be under way.
	sentBefore bool
}

func (l *leader) newActiveCall(key structs.ProgramKey, call *structs.Call) *activeCall {
	active := &activeCall{leader: l, key: key, call: call, stage: stageWaiting, sentBefore: call.Retry}
	l.calls[callKey{key, call.RequestID}] = active
	return active
}

// sortedCalls returns all active calls in a fixed order.
func (l *leader) sortedCalls() []*activeCall {
	all := make([]*activeCall, 0, len(l.calls))
	for _, active := range l.calls {
		all = append(all, active)
	}
	slices.SortFunc(all, func(a, b *activeCall) int {
		return cmp.Or(
			cmp.Compare(a.key.Tenant, b.key.Tenant),
			cmp.Compare(a.key.Program, b.key.Program),
			cmp.Compare(a.call.Sequence, b.call.Sequence),
			cmp.Compare(a.call.RequestID, b.call.RequestID),
		)
	})
	return all
}

// attach adds a follower and sends it what it lacks of the answer.
func (a *activeCall) attach(from attachment, resumeAt int64, delivered string) {
	if a.detachTimer != nil {
		a.detachTimer.Stop()
		a.detachTimer = nil
	}
	if !slices.Contains(a.attachments, from) {
		a.attachments = append(a.attachments, from)
	}
	if len(delivered) > len(a.deliveredText) {
		a.deliveredText = delivered
	}
	text := a.text.String()
	if a.leader.Guards.SkipResume {
		resumeAt = 0
	}
	if resumeAt < int64(len(text)) {
		a.leader.sendChunks(from, []structs.Chunk{{Offset: resumeAt, Text: text[resumeAt:]}})
	}
}

func (a *activeCall) broadcast(chunks []structs.Chunk) {
	for _, follower := range a.attachments {
		a.leader.sendChunks(follower, chunks)
	}
}

func (l *leader) sendChunks(to attachment, chunks []structs.Chunk) {
	l.Transport.Send(to.daemon, &Answer{Submission: to.submission, Chunks: chunks})
}

// adoptPrefix makes the delivered text the beginning of the next attempt's
// answer.
func (a *activeCall) adoptPrefix() {
	if len(a.deliveredText) <= a.text.Len() {
		return
	}
	a.text.Reset()
	a.text.WriteString(a.deliveredText)
}

// abandon drops the call from this leader's memory, touching no back end.
func (a *activeCall) abandon() {
	a.generation++
	if a.stream != nil {
		a.stream.Detach()
		a.stream = nil
	}
	if a.detachTimer != nil {
		a.detachTimer.Stop()
	}
	a.leaveScheduler(schedule.Result{})
}

// leaveScheduler takes the call out of the queue or hands its place back.
func (a *activeCall) leaveScheduler(result schedule.Result) {
	if a.assignment != nil {
		a.leader.Scheduler.Finished(*a.assignment, result)
		a.assignment = nil
	}
	if a.item != nil {
		a.leader.Scheduler.Remove(a.item)
		a.item = nil
	}
}
