package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

// dispatchNumbers continues the numbering of a call's dispatches when the call
// was refused after a dispatch and is submitted again to the same leadership.
// The new record of the call counts from 1, but back ends keep the fences of
// its earlier dispatches, which such numbers would not pass. A new leadership
// has a higher epoch and does not need this.
type dispatchNumbers struct {
	used map[callKey]int
}

func newDispatchNumbers() *dispatchNumbers {
	return &dispatchNumbers{used: map[callKey]int{}}
}

// number returns the number that back ends see for the dispatch that the record
// counts from 1.
func (n *dispatchNumbers) number(call callKey, recorded int) int {
	return n.used[call] + recorded
}

// refused records that a call was refused after the given number of recorded
// dispatches.
func (n *dispatchNumbers) refused(call callKey, recorded int) {
	if recorded > 0 {
		n.used[call] += recorded
	}
}

// forget drops the numbers of an ended program.
func (n *dispatchNumbers) forget(program structs.ProgramKey) {
	for call := range n.used {
		if call.program == program {
			delete(n.used, call)
		}
	}
}
