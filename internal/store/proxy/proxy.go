// Package proxy lets a daemon that cannot reach the store call it by way of another daemon, called
// a helper.
//
// A platform may refuse, throttle or cut off some machines while it serves the others. A call that
// fails or is slow is made a second time by way of a daemon that may reach the store, and the first
// answer counts. That is safe for reads, and for appends that carry a writer's epoch and sequence
// number: the store applies a repeated append once, and fences a superseded writer on whichever way
// its append arrives. Appends without a writer must be idempotent.
package proxy

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/sample"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// overdueAfter is how long a direct append may take until a helper makes it, too. A store that
	// is slow for everyone is as slow for a helper, so a shorter time would gain little.
	overdueAfter = 150 * time.Millisecond
	// readOverdueAfter is the same for a read, in addition to its wait. A read may return a
	// megabyte, which takes a link of 30 Mbit/s 0.3 s, and a second copy would load a busy store
	// and two machines.
	readOverdueAfter = 400 * time.Millisecond
	// silenceTimeout is how long nothing of a direct call's answer may have arrived, nor any other
	// answer, until the store counts as unreachable. It must exceed the time that a slow store takes
	// for a few answers, even if it is sixty times as slow as usual. It also detects outages for calls without a deadline.
	silenceTimeout = 700 * time.Millisecond
	// overdueFactor times the recent duration of pages of newest records of a space is how long the
	// next page may take until a helper reads it, too. A page may be a megabyte, so a second copy
	// is expensive.
	overdueFactor = 3
	// busyPageAfter is the minimum time that a page of a bulk read may take while the store answers
	// other calls: the store is busy, and a second copy would make it busier.
	busyPageAfter = 700 * time.Millisecond
	// pageTimeDecay is the factor by which the recorded duration of a page decays with each shorter
	// page. The last page of a listing is short.
	pageTimeDecay = 0.9
	// minOutageForNotice is the minimum length of an outage whose end is announced to other daemons,
	// and noticeInterval the minimum time between announcements.
	minOutageForNotice = 300 * time.Millisecond
	noticeInterval     = time.Second
	// noticeFanout is the number of daemons that a daemon tells of the end of an outage. Those that
	// were in it tell as many: all of a fleet hear of it in a few steps, and none has to connect to
	// all others.
	noticeFanout = 8
)

// Options configure a Service.
type Options struct {
	Self structs.DaemonID
	// Region is this daemon's region, whose helpers are preferred.
	Region structs.RegionName
	// Direct is the store as this daemon reaches it without a helper.
	Direct    store.Store
	Transport peer.Transport
	View      membership.View
	Random    *rand.Rand
	// MayHelp reports whether a daemon is allowed to see the records of a partition; nil if all
	// daemons may see all partitions.
	MayHelp func(partition store.Partition, daemon structs.Daemon) bool
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Service is a store.Store and a store.Connectivity. It is safe for concurrent use.
type Service struct {
	Options
	connectivity connectivity
	helpers      helpers
	// serving limits the concurrent calls made for other daemons.
	serving chan struct{}
	helpLog helpLog
	replies peer.Replies[*Response]
	// mutex guards Options.Random and pageTimes, the recent duration of a page of newest records by
	// space.
	mutex     sync.Mutex
	pageTimes map[string]time.Duration
}

// New returns a Service.
func New(options Options) *Service {
	return &Service{
		Options:      options,
		connectivity: newConnectivity(),
		serving:      make(chan struct{}, maxServing),

		pageTimes: map[string]time.Duration{},
	}
}

// outcome holds the return values of a call.
type outcome struct {
	records []store.Record
	next    int64
	more    bool
	err     error
}

// isAnswered reports whether the store itself answered a call. An answer that it is full counts, as
// another daemon would get the same.
func isAnswered(err error) bool {
	return errors.Is(err, store.ErrFull) || !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown)
}

// Append implements store.Store.
func (s *Service) Append(ctx context.Context, partition store.Partition, writer store.Writer, records []store.Record) error {
	return s.do(ctx, &Request{Call: callAppend, Partition: partition, Writer: writer, Records: records}).err
}

// NewestPage implements store.Store.
func (s *Service) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	got := s.do(ctx, &Request{Call: callNewest, Partition: partition, After: after})
	return store.Page{Records: got.records, End: got.next, More: got.more}, got.err
}

// Read implements store.Store.
func (s *Service) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	got := s.do(ctx, &Request{Call: callRead, Partition: partition, From: from, WaitMS: wait.Milliseconds()})
	return got.records, got.next, got.err
}

// Trim implements store.Store.
func (s *Service) Trim(ctx context.Context, partition store.Partition, before int64) error {
	return s.do(ctx, &Request{Call: callTrim, Partition: partition, From: before}).err
}

// callAttempts are the parallel attempts at one call, directly and by way of a helper.
type callAttempts struct {
	request  *Request
	answers  chan outcome
	inFlight int
	// helperAsked: an attempt by way of a helper was started.
	helperAsked bool
}

// start starts another attempt.
func (w *callAttempts) start(ctx context.Context, call func(context.Context, *Request) outcome) {
	w.inFlight++
	go func() { w.answers <- call(ctx, w.request) }()
}

// askHelper starts an attempt by way of a helper, unless there was one.
func (s *Service) askHelper(ctx context.Context, w *callAttempts) {
	if !w.helperAsked {
		w.helperAsked = true
		w.start(ctx, s.callHelper)
	}
}

// do makes a call directly, by way of a helper, or both.
func (s *Service) do(ctx context.Context, request *Request) outcome {
	request.Purpose = store.PurposeOf(ctx)
	ctx, progress := store.TrackProgress(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := &callAttempts{request: request, answers: make(chan outcome, 2)}
	if s.connectivity.mayCall(time.Now()) {
		attempts.start(ctx, s.callDirect)
	} else {
		s.askHelper(ctx, attempts)
	}
	started := time.Now()
	overdue := time.NewTimer(s.overdueTime(ctx, request))
	defer overdue.Stop()
	failed := outcome{next: request.From}
	arrived := progress.Bytes()
	for {
		select {
		case got := <-attempts.answers:
			attempts.inFlight--
			if isAnswered(got.err) {
				return got
			}
			failed.err = mergeErrors(failed.err, got.err)
			if !store.IsPatient(ctx) || !s.connectivity.isPartitionBusy(time.Now()) {
				s.askHelper(ctx, attempts)
			}
			if attempts.inFlight == 0 {
				return failed
			}
		case <-overdue.C:
			isArriving := progress.Bytes() > arrived
			arrived = progress.Bytes()
			if isArriving || s.isBusyPage(request, started) {
				overdue.Reset(overdueAfter)
				continue
			}
			s.askHelper(ctx, attempts)
		case <-ctx.Done():
			failed.err = store.ErrOutcomeUnknown
			return failed
		}
	}
}

// overdueTime returns how long a direct call may take until a helper makes it, too.
func (s *Service) overdueTime(ctx context.Context, request *Request) time.Duration {
	if store.IsPatient(ctx) {
		return math.MaxInt64
	}
	switch request.Call {
	case callAppend:
		return overdueAfter
	case callRead:
		return request.wait() + readOverdueAfter
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(overdueFactor*s.pageTimes[request.Partition.Space], overdueAfter)
}

// isBusyPage reports whether an overdue page should be waited for without asking a helper, because
// the store is only busy.
func (s *Service) isBusyPage(request *Request, started time.Time) bool {
	return request.Call == callNewest && request.Purpose.IsBulk() &&
		time.Since(started) < busyPageAfter && s.connectivity.hasAnsweredSince(started)
}

// recordPageTime records how long a page took.
func (s *Service) recordPageTime(request *Request, took time.Duration) {
	if request.Call != callNewest {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	decayed := time.Duration(pageTimeDecay * float64(s.pageTimes[request.Partition.Space]))
	s.pageTimes[request.Partition.Space] = max(took, decayed)
}

// mergeErrors merges the errors of two attempts at a call: the outcome is unknown if either attempt
// may have taken effect.
func mergeErrors(a, b error) error {
	if a == nil || errors.Is(b, store.ErrOutcomeUnknown) {
		return b
	}
	return a
}

// callDirect makes a call without a helper, and records whether the store answered.
func (s *Service) callDirect(ctx context.Context, request *Request) outcome {
	started := time.Now()
	silenceTimer := s.startSilenceTimer(ctx, request, started)
	got := request.perform(ctx, s.Direct)
	silenceTimer.Stop()
	if got.err == nil {
		s.recordPageTime(request, time.Since(started))
	}
	if !isAnswered(got.err) && errors.Is(ctx.Err(), context.Canceled) {
		return got // the caller canceled the call
	}
	if errors.Is(got.err, store.ErrOutcomeUnknown) && s.connectivity.hasAnsweredSince(started) {
		s.Metrics.countLate()
		return got
	}
	if request.Call == callAppend && errors.Is(got.err, store.ErrUnavailable) && s.connectivity.isPartitionBusy(time.Now()) {
		return got
	}
	s.recordOutcome(got.err)
	return got
}

// startSilenceTimer starts a timer that records an outage if nothing of a direct call's answer
// arrives in time. The caller stops it.
func (s *Service) startSilenceTimer(ctx context.Context, request *Request, started time.Time) (timer *time.Timer) {
	progress := store.ProgressOf(ctx)
	before := progress.Bytes()
	due := started.Add(request.wait())
	return time.AfterFunc(request.wait()+silenceTimeout, func() {
		if ctx.Err() == nil && progress.Bytes() == before && !s.connectivity.hasAnsweredSince(due) {
			s.recordOutcome(store.ErrOutcomeUnknown)
		}
	})
}

// recordOutcome records the outcome of a direct call, and logs the begin and the end of an outage.
func (s *Service) recordOutcome(err error) {
	if !isAnswered(err) {
		if s.connectivity.recordFailure(time.Now()) {
			s.Logger.Warn().Err(err).Msg("The store does not answer. Other daemons are asked to make calls, too.")
		}
		return
	}
	out := s.connectivity.recordAnswer(time.Now())
	if out == 0 {
		return
	}
	s.Logger.Info().Dur("out", out).Msg("The store answers again.")
	if out >= minOutageForNotice && s.connectivity.mayNotify(time.Now()) {
		s.announceRecovery()
	}
}

// announceRecovery tells noticeFanout other daemons that the store answers again.
func (s *Service) announceRecovery() {
	var others []structs.DaemonID
	for _, member := range s.View.Members() {
		if member.Daemon.ID != s.Self {
			others = append(others, member.Daemon.ID)
		}
	}
	s.mutex.Lock()
	told := sample.Of(s.Random, noticeFanout, others)
	s.mutex.Unlock()
	for _, id := range told {
		s.Transport.Send(id, &RecoveryNotice{})
	}
}

// receiveRecoveryNotice handles another daemon's notice that the store answers again.
func (s *Service) receiveRecoveryNotice(from structs.DaemonID) {
	wasOut, passOn := s.connectivity.recordRecoveryNotice(time.Now())
	if wasOut {
		s.Logger.Info().Str("from", string(from)).Bool("passed_on", passOn).Msg("Another daemon reports that the store answers again.")
	}
	if passOn {
		s.announceRecovery()
	}
}

// Recovered implements store.Connectivity.
func (s *Service) Recovered() <-chan struct{} { return s.connectivity.recoverySignal() }

// IsIsolated implements store.Connectivity.
func (s *Service) IsIsolated() bool {
	now := time.Now()
	return s.connectivity.failingFor(now) > isolatedAfter && s.helpers.silentFor(now) > isolatedAfter
}

// Receive handles a message; it returns false if the message belongs to another component.
func (s *Service) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Request:
		s.serve(from, message)
	case *Response:
		s.replies.Deliver(message.Number, message)
	case *RecoveryNotice:
		s.receiveRecoveryNotice(from)
	default:
		return false
	}
	return true
}

var (
	_ store.Store        = (*Service)(nil)
	_ store.Connectivity = (*Service)(nil)
)
