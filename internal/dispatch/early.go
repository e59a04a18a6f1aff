package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// earlySubmit is a submission that waits for lower sequence numbers.
type earlySubmit struct {
	from   attachment
	submit *Submit
	timer  clock.Timer
}

// retryAfterOrder is when a caller may send a call again whose predecessors
// have not arrived.
const retryAfterOrder = time.Second

// startWait is how long a later call waits for the first of its program, which
// may take another way.
const startWait = time.Second

// waitForOrder keeps a submission until the calls before it have arrived.
func (l *leader) waitForOrder(follower attachment, submit *Submit) {
	key := submit.Call.Key
	for _, waiting := range l.early[key] {
		if waiting.submit.Call.RequestID == submit.Call.RequestID {
			waiting.from, waiting.submit = follower, submit
			return
		}
	}
	waiting := &earlySubmit{from: follower, submit: submit}
	wait := l.Settings.SequenceWait
	if l.machine.Program(key) == nil {
		wait = min(wait, startWait)
	}
	waiting.timer = l.after(wait, func() { l.giveUpOrder(key, waiting) })
	l.early[key] = append(l.early[key], waiting)
}

func (l *leader) giveUpOrder(key structs.ProgramKey, waiting *earlySubmit) {
	l.early[key] = slices.DeleteFunc(l.early[key], func(other *earlySubmit) bool { return other == waiting })
	if len(l.early[key]) == 0 {
		delete(l.early, key)
	}
	refusal := structs.Refused(structs.ReasonSequenceConflict, "sequence",
		"Calls with lower sequence numbers did not arrive.", retryAfterOrder)
	if l.machine.Program(key) == nil {
		refusal = structs.Refused(structs.ReasonUnknownProgram, "program",
			"No such program is under way, and only call 1 starts one.", 0)
	}
	l.refuseForNow(waiting.from, waiting.submit.Call, refusal)
}

// admitEarly submits again what waited for the call just accepted.
func (l *leader) admitEarly(key structs.ProgramKey) {
	waiting := l.early[key]
	delete(l.early, key)
	for _, early := range waiting {
		early.timer.Stop()
		l.submit(early.from.daemon, early.submit)
	}
}

func (l *leader) sortedEarly() []*earlySubmit {
	var all []*earlySubmit
	for _, waiting := range l.early {
		all = append(all, waiting...)
	}
	slices.SortFunc(all, func(a, b *earlySubmit) int {
		return cmp.Or(cmp.Compare(a.from.daemon, b.from.daemon), cmp.Compare(a.from.submission, b.from.submission))
	})
	return all
}
