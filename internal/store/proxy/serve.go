package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maxServing is the maximum number of concurrent calls made for other daemons. It leaves most
	// of the machine to this daemon's own callers.
	maxServing = 32
	// helpLogInterval is the minimum time between log lines about help for the same daemon.
	helpLogInterval = 5 * time.Second
	// maxLoggedDaemons is the maximum number of daemons that are remembered for the log.
	maxLoggedDaemons = 1024
)

// helpLog limits the rate of log lines about help for other daemons.
type helpLog struct {
	mutex    sync.Mutex
	loggedAt map[structs.DaemonID]time.Time
}

// mayLog reports whether help for a daemon should be logged now.
func (s *helpLog) mayLog(daemon structs.DaemonID, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.loggedAt[daemon]) < helpLogInterval {
		return false
	}
	if s.loggedAt == nil || len(s.loggedAt) >= maxLoggedDaemons {
		s.loggedAt = map[structs.DaemonID]time.Time{}
	}
	s.loggedAt[daemon] = now
	return true
}

// serve makes a call for another daemon. It never asks a third daemon.
func (s *Service) serve(from structs.DaemonID, request *Request) {
	if !request.isKnown() || !s.connectivity.mayCall(time.Now()) {
		s.reply(from, request, outcome{err: store.ErrUnavailable})
		return
	}
	select {
	case s.serving <- struct{}{}:
	default:
		s.reply(from, request, outcome{err: store.ErrUnavailable})
		return
	}
	if s.helpLog.mayLog(from, time.Now()) {
		s.Logger.Info().Str("for", string(from)).Str("call", string(request.Call)).
			Msg("Calling the store for another daemon.")
	}
	go func() {
		defer func() { <-s.serving }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(request.WithinMS)*time.Millisecond)
		defer cancel()
		s.reply(from, request, s.callDirect(ctx, request))
	}()
}

func (s *Service) reply(to structs.DaemonID, request *Request, got outcome) {
	result := resultOf(got.err)
	s.Metrics.countServed(string(result))
	response := &Response{Number: request.Number, Result: result, Records: got.records, Next: got.next, More: got.more}
	if got.err != nil {
		response.Detail = got.err.Error()
	}
	s.Transport.Send(to, response)
}
