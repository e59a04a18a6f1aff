package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

const (
	// dispatchBits is the part of a back end's epoch that numbers the
	// dispatches of one call within a leadership.
	dispatchBits = 16
	// maximumDispatch is the highest number that fits.
	maximumDispatch = 1<<dispatchBits - 1
)

// backEndEpoch returns the epoch that back ends see: the leadership's, and in
// its low bits the number of the dispatch. An inspection carries the number
// behind the dispatch it asks about, so that its fence stops also what this
// very leader sent before and the network still holds: a connection that broke
// may yet deliver. The next dispatch has that number and passes, also when the
// call was refused in between (see dispatchNumbers).
func backEndEpoch(leadership structs.Epoch, dispatch int) structs.Epoch {
	return leadership<<dispatchBits | structs.Epoch(min(dispatch, maximumDispatch))
}

// fenceOf returns the epoch that back ends see with a dispatch of a call, and
// with an inspection that fences the dispatches before it.
func (l *leader) fenceOf(active *activeCall, dispatch int) structs.Epoch {
	number := l.dispatches.number(callKey{active.key, active.call.RequestID}, dispatch)
	return backEndEpoch(l.leadership.Epoch(), number)
}

// continueNumbers remembers the dispatches of a call that is about to be
// refused, since the caller may submit it again.
func (l *leader) recordRefusedDispatches(active *activeCall, outcome structs.Outcome) {
	open := l.openCall(active)
	if open == nil || outcome.Status != structs.OutcomeNotRun {
		return
	}
	l.dispatches.refused(callKey{active.key, active.call.RequestID}, open.Attempt)
}
