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

// stage is the progress of a call at this leader.
type stage int

const (
	// stageProposed: the acceptance is being recorded.
	stageProposed stage = iota
	// stageWaiting: accepted; earlier calls of the program are not settled yet.
	stageWaiting
	// stageWaitingForQuota: waiting for a larger allowance of the tenant's
	// quota.
	stageWaitingForQuota
	// stageQueued: waiting for an engine.
	stageQueued
	// stageRecording: the intent is being recorded.
	stageRecording
	// stageRunning: sent; its stream is being read.
	stageRunning
	// stageInspecting: sent, and the back end is being asked for its status.
	stageInspecting
	// stageSettling: the outcome is being recorded.
	stageSettling
	// stageFinished: the outcome is known, possibly because the program ended.
	// Records of the call that are still being proposed have no effect.
	stageFinished
)

// attachment is a daemon that follows a call for its caller.
type attachment struct {
	daemon     structs.DaemonID
	submission SubmissionID
}

// activeCall is a call without an outcome at its shard's leader.
type activeCall struct {
	leader      *leader
	key         structs.ProgramKey
	call        *structs.Call
	stage       stage
	attachments []attachment
	// text is the answer so far.
	text strings.Builder
	// deliveredText is answer text that a caller received before this leader
	// took over.
	deliveredText string
	// gaps counts consecutive streams of the answer that began after the end of
	// text.
	gaps int

	item       *schedule.Item
	assignment *schedule.Assignment
	// transferRequested is set once the attempt's cache transfer was requested.
	transferRequested bool
	avoid             []structs.EngineID
	stream            framework.Stream
	// generation counts attempts and inspections of this leader; callbacks of
	// earlier ones are ignored.
	generation   int
	startedAt    time.Time
	firstChunkAt time.Time
	// lastProgressAt is when the back end last made progress.
	lastProgressAt time.Time

	inspectingSince time.Time
	inspectDelay    time.Duration
	reportedUnknown bool
	// disproved is set when it is certain that the recorded attempt did not
	// run.
	disproved bool
	// mayHaveRun is set once any attempt could have had an effect.
	mayHaveRun  bool
	cancelled   bool
	detachTimer clock.Timer
	// sentBefore is set when a caller reports that another copy of the call may
	// be in flight.
	sentBefore bool
}

func (l *leader) newActiveCall(key structs.ProgramKey, call *structs.Call) *activeCall {
	active := &activeCall{leader: l, key: key, call: call, stage: stageWaiting, sentBefore: call.Retry}
	l.calls[callKey{key, call.RequestID}] = active
	return active
}

// sortedCalls returns all active calls in a deterministic order.
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

// attach adds a follower and sends it the missing part of the answer.
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

// abandon drops the call from this leader's memory without contacting its back
// end.
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

// leaveScheduler removes the call from the queue or returns its slot.
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
