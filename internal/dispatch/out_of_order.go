package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// outOfOrderSubmit is a submission that waits for lower sequence numbers.
type outOfOrderSubmit struct {
	from   attachment
	submit *Submit
	timer  clock.Timer
}

// retryAfterMissingCalls is the retry delay of a call whose predecessors have
// not arrived.
const retryAfterMissingCalls = time.Second

// firstCallWait is how long a later call waits for the first one of its
// program, which may arrive by another route.
const firstCallWait = time.Second

// waitForPredecessors keeps a submission until the calls before it arrive.
func (l *leader) waitForPredecessors(follower attachment, submit *Submit) {
	key := submit.Call.Key
	for _, waiting := range l.outOfOrder[key] {
		if waiting.submit.Call.RequestID == submit.Call.RequestID {
			waiting.from, waiting.submit = follower, submit
			return
		}
	}
	waiting := &outOfOrderSubmit{from: follower, submit: submit}
	wait := l.Settings.SequenceWait
	if l.machine.Program(key) == nil {
		wait = min(wait, firstCallWait)
	}
	waiting.timer = l.after(wait, func() { l.expireOutOfOrder(key, waiting) })
	l.outOfOrder[key] = append(l.outOfOrder[key], waiting)
}

func (l *leader) expireOutOfOrder(key structs.ProgramKey, waiting *outOfOrderSubmit) {
	l.outOfOrder[key] = slices.DeleteFunc(l.outOfOrder[key], func(other *outOfOrderSubmit) bool { return other == waiting })
	if len(l.outOfOrder[key]) == 0 {
		delete(l.outOfOrder, key)
	}
	refusal := structs.Refused(structs.ReasonSequenceConflict, "sequence",
		"Calls with lower sequence numbers did not arrive.", retryAfterMissingCalls)
	if l.machine.Program(key) == nil {
		refusal = structs.Refused(structs.ReasonUnknownProgram, "program",
			"No such program is under way, and only call 1 starts one.", 0)
	}
	l.refuseTemporarily(waiting.from, waiting.submit.Call, refusal)
}

// resubmitOutOfOrder submits the calls that waited for the accepted one.
func (l *leader) resubmitOutOfOrder(key structs.ProgramKey) {
	waiting := l.outOfOrder[key]
	delete(l.outOfOrder, key)
	for _, early := range waiting {
		early.timer.Stop()
		l.submit(early.from.daemon, early.submit)
	}
}

func (l *leader) sortedOutOfOrder() []*outOfOrderSubmit {
	var all []*outOfOrderSubmit
	for _, waiting := range l.outOfOrder {
		all = append(all, waiting...)
	}
	slices.SortFunc(all, func(a, b *outOfOrderSubmit) int {
		return cmp.Or(cmp.Compare(a.from.daemon, b.from.daemon), cmp.Compare(a.from.submission, b.from.submission))
	})
	return all
}
