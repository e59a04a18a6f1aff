package httpconn

import "github.com/rotisserie/eris"

// Errors of an exchange.
var (
	// ErrNotSent: no byte of the request left this machine.
	ErrNotSent = eris.New("httpconn: the request was not sent")
	// ErrNoConnection: all connections that this daemon may have to the address are in use; no byte
	// left this machine.
	ErrNoConnection = eris.Wrap(ErrNotSent, "httpconn: no free connection to the address")
	// ErrRefused: the connection was refused because nothing listens at the address; no byte left
	// this machine.
	ErrRefused = eris.Wrap(ErrNotSent, "httpconn: the connection was refused")
	// ErrSendTooLate: Bounds.SendBy passed before the request was sent; no byte left this machine.
	ErrSendTooLate = eris.Wrap(ErrNotSent, "httpconn: the time to send the request has passed")
	// ErrResetUnused: the connection was reset before the kernel accepted the first byte of the
	// request, for example by a back end that is out of connections.
	ErrResetUnused = eris.Wrap(ErrNotSent, "httpconn: the connection was reset before use")
	// ErrOtherPeer: another process than Bounds.Peer is at the address; no byte of the request left
	// this machine.
	ErrOtherPeer = eris.Wrap(ErrNotSent, "httpconn: another process is at the address")
	// ErrBroken: the connection broke after some of the request was sent.
	ErrBroken = eris.New("httpconn: the connection broke")
	// ErrPeerCutOff is the cause of a context that is canceled because the peer is considered cut
	// off. Unsent data is dropped.
	ErrPeerCutOff = eris.New("httpconn: the peer is considered cut off")
)
