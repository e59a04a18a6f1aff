package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

const (
	// dispatchBits is the number of low bits of a back end's epoch that number
	// the dispatches of one call within a leadership.
	dispatchBits = 16
	// maximumDispatch is the highest dispatch number that fits.
	maximumDispatch = 1<<dispatchBits - 1
)

// backEndEpoch returns the epoch that back ends see: the leadership's epoch
// with the dispatch number in its low bits. An inspection carries the number
// after that of the dispatch it asks about, so that its fence also stops this
// leader's own earlier dispatches: the network may still deliver them after a
// broken connection. The next dispatch has the same number as the inspection
// and passes, also when the call was refused in between (see dispatchNumbers).
func backEndEpoch(leadership structs.Epoch, dispatch int) structs.Epoch {
	return leadership<<dispatchBits | structs.Epoch(min(dispatch, maximumDispatch))
}

// fenceOf returns the epoch that back ends see for a dispatch of a call, or for
// an inspection that fences the dispatches before it.
func (l *leader) fenceOf(active *activeCall, dispatch int) structs.Epoch {
	number := l.dispatches.number(callKey{active.key, active.call.RequestID}, dispatch)
	return backEndEpoch(l.leadership.Epoch(), number)
}

// recordRefusedDispatches keeps the dispatch count of a call that is about to
// be refused, since the caller may submit it again.
func (l *leader) recordRefusedDispatches(active *activeCall, outcome structs.Outcome) {
	open := l.openCall(active)
	if open == nil || outcome.Status != structs.OutcomeNotRun {
		return
	}
	l.dispatches.refused(callKey{active.key, active.call.RequestID}, open.Attempt)
}
