package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// servingLimit is the maximum number of concurrent calls made for other daemons. It leaves most
	// of the machine to this daemon's own callers.
	servingLimit = 32
	// servedPause is the minimum time between log lines about help for the same daemon.
	servedPause = 5 * time.Second
	// servedLimit is the maximum number of daemons that are remembered for the log.
	servedLimit = 1024
)

// served limits the rate of log lines about help for other daemons.
type served struct {
	mutex  sync.Mutex
	toldAt map[structs.DaemonID]time.Time
}

// isNews reports whether help for a daemon should be logged now.
func (s *served) isNews(daemon structs.DaemonID, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.toldAt[daemon]) < servedPause {
		return false
	}
	if s.toldAt == nil || len(s.toldAt) >= servedLimit {
		s.toldAt = map[structs.DaemonID]time.Time{}
	}
	s.toldAt[daemon] = now
	return true
}

// serve makes a call for another daemon. It never asks a third daemon.
func (s *Service) serve(from structs.DaemonID, request *Request) {
	if !request.isKnown() || !s.contact.mayCall(time.Now()) {
		s.reply(from, request, outcome{err: store.ErrUnavailable})
		return
	}
	select {
	case s.serving <- struct{}{}:
	default:
		s.reply(from, request, outcome{err: store.ErrUnavailable})
		return
	}
	if s.served.isNews(from, time.Now()) {
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
	s.Metrics.served(string(result))
	response := &Response{Number: request.Number, Result: result, Records: got.records, Next: got.next, More: got.more}
	if got.err != nil {
		response.Detail = got.err.Error()
	}
	s.Transport.Send(to, response)
}
