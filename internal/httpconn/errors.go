package httpconn

import "github.com/rotisserie/eris"

// Errors of an exchange.
var (
	// ErrNotSent: no byte of the request left this machine.
	ErrNotSent = eris.New("httpconn: the request was not sent")
	// ErrNoConnection: every connection this daemon may have to the address is
	// in use; no byte left this machine.
	ErrNoConnection = eris.Wrap(ErrNotSent, "httpconn: no connection is free")
	// ErrRefused: nobody listens at the address, as its machine said; no byte left this
	// machine.
	ErrRefused = eris.Wrap(ErrNotSent, "httpconn: the connection was refused")
	// ErrLate: Bounds.SendBy was over before the request was sent; no byte left this
	// machine.
	ErrLate = eris.Wrap(ErrNotSent, "httpconn: too late to send it")
	// ErrTurnedAway: the connection was reset before the system took the first byte of the
	// request, as by a back end that takes no more connections.
	ErrTurnedAway = eris.Wrap(ErrNotSent, "httpconn: the connection was reset unused")
	// ErrBroken: the connection broke after some of the request was sent.
	ErrBroken = eris.New("httpconn: the connection broke")
	// ErrGivenUp is the cause of a context that ends because the other side is taken to
	// be cut off: what is still on its way there is dropped.
	ErrGivenUp = eris.New("httpconn: the other side is taken to be cut off")
)
