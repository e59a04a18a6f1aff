package relaydaemon

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// listenRetryInterval is the time between attempts to open the listeners.
	listenRetryInterval = 100 * time.Millisecond
	// listenLogInterval is the time between log lines that report why they are not open yet.
	listenLogInterval = 5 * time.Second
)

// Errors of opening the listeners.
var (
	// ErrAddress: an address of the settings can not be listened at.
	ErrAddress = eris.New("relaydaemon: can not listen")
	// ErrAddressUnavailable: an address was taken, or was not one of the machine's, during the whole
	// time for a start.
	ErrAddressUnavailable = eris.Wrap(ErrAddress, "relaydaemon: the address stayed unavailable")
	// ErrInterrupted: the start was interrupted while an address was not available.
	ErrInterrupted = eris.New("relaydaemon: interrupted before the start")
)

// Listeners are the open listeners of a daemon.
type Listeners struct {
	front, ready, peer net.Listener
}

// A Pause waits for a time. It returns false if the start is to be given up.
type Pause func(length time.Duration) (goOn bool)

// OpenListeners opens the listeners of the settings. While an address is taken, for example by a former
// process that is still ending, or is not one of the machine's yet, it pauses and tries again. The error
// is ErrInterrupted, or wraps ErrAddress and names the field.
func OpenListeners(settings Settings, logger zerolog.Logger, pause Pause) (*Listeners, error) {
	started := time.Now()
	var logged time.Time
	for {
		listeners, err := openAll(settings)
		if err == nil {
			return listeners, nil
		}
		if !isTransient(err) {
			return nil, err
		}
		if time.Since(started) >= settings.startTime() {
			return nil, eris.Wrap(ErrAddressUnavailable, err.Error())
		}
		if time.Since(logged) >= listenLogInterval {
			logger.Warn().Err(err).Msg("Address not available. The daemon tries again.")
			logged = time.Now()
		}
		if !pause(listenRetryInterval) {
			return nil, ErrInterrupted
		}
	}
}

// isTransient reports whether an address may become available.
func isTransient(err error) bool {
	for _, transient := range []error{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// openAll opens all listeners or none: an open listener whose connections nobody accepts would keep other
// daemons and callers waiting.
func openAll(settings Settings) (*Listeners, error) {
	opened := &Listeners{}
	for _, address := range []struct {
		field, value string
		listener     *net.Listener
	}{
		{"front_address", settings.FrontAddress, &opened.front},
		{"ready_address", settings.ReadyAddress, &opened.ready},
		{"peer_address", settings.PeerAddress, &opened.peer},
	} {
		listener, err := net.Listen("tcp", address.value)
		if err != nil {
			opened.close()
			return nil, &addressError{field: address.field, cause: err}
		}
		*address.listener = listener
	}
	return opened, nil
}

// close closes the open listeners.
func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.front, l.ready, l.peer} {
		if listener != nil {
			_ = listener.Close() // no connection was accepted
		}
	}
}

// addressError tells which field's address can not be listened at. It wraps ErrAddress.
type addressError struct {
	field string
	cause error
}

// Error implements error.
func (e *addressError) Error() string { return e.field + ": " + e.cause.Error() }

// Unwrap returns ErrAddress and the cause.
func (e *addressError) Unwrap() []error { return []error{ErrAddress, e.cause} }
