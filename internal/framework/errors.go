package framework

import "github.com/rotisserie/eris"

// Errors that drivers return. Drivers map the errors of their protocol to these;
// any other error is treated as ErrUnreachable.
var (
	// ErrUnreachable: no answer was received. The action may have taken effect.
	ErrUnreachable = eris.New("back end unreachable")
	// ErrNotSent: the action certainly did not reach the back end.
	ErrNotSent = eris.New("not sent")
	// ErrFenced: the back end has seen a higher fence or epoch.
	ErrFenced = eris.New("fenced by a higher epoch")
	// ErrRefused: the back end refused the action and did not perform it.
	ErrRefused = eris.New("refused by the back end")
	// ErrUnavailable: the service reports that it is unavailable.
	ErrUnavailable = eris.New("service unavailable")
)
