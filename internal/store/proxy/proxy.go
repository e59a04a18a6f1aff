// Package proxy lets a daemon that cannot reach the store call it by way of
// another daemon.
//
// A platform may refuse, throttle or cut off some machines while it serves the
// others. A call that fails, or that takes long, is made a second time by way
// of a daemon that may reach the store; the first answer counts. That is safe
// for reads, and for appends that carry a writer's epoch and number: the store
// does a repeated append once, and fences a superseded writer whichever way its
// append comes. Appends without a writer must be harmless when done twice.
package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// overdueAfter is how long a direct call may take, beyond the wait that it
	// asks for, until it is made by way of a helper, too. An answer of the store
	// takes some milliseconds; one of a store that is slow for all takes as long
	// for a helper, so little is gained by asking sooner.
	overdueAfter = 150 * time.Millisecond
	// readOverdueAfter is the same for a reading. It may bring a megabyte, which takes a link
	// of 30 Mbit/s 0.3 s; made twice it takes a store that is busy, and two machines, as much
	// again.
	readOverdueAfter = 400 * time.Millisecond
	// silentAfter is how long nothing of a direct call's answer may have arrived, and none of
	// another, until the store counts as lost: some answers of a store that is sixty times as
	// slow as usual. Calls that are waited for without a limit would not tell of it at all.
	silentAfter = 700 * time.Millisecond
	// overdueFactor times what pages of newest records of a space took lately is
	// how long the next may take: a page is up to a megabyte, and made twice it costs
	// two machines what one of them is short of.
	overdueFactor = 3
	// busyPageAfter is how long a page of many records may take at least while the store
	// answers other calls: it is busy, and a page made twice makes it busier.
	busyPageAfter = 700 * time.Millisecond
	// pageTimeFall is how fast the longest time of a page is forgotten, with each
	// shorter one: the last page of a listing is a short one.
	pageTimeFall = 0.9
	// noticeAfter is how long the store must have been out for its return to be
	// told to the other daemons, and noticePause separates such notices.
	noticeAfter = 300 * time.Millisecond
	noticePause = time.Second
)

// Options give a Service what it works with.
type Options struct {
	Self structs.DaemonID
	// Region is this daemon's: helpers are looked for there first.
	Region structs.RegionName
	// Direct is the store as this daemon reaches it itself.
	Direct    store.Store
	Transport peer.Transport
	View      membership.View
	Random    *rand.Rand
	// MayHelp tells whether a daemon may see the records of a partition; nil if all
	// may see all.
	MayHelp func(partition store.Partition, daemon structs.Daemon) bool
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Service is a store.Store and a store.Contact. It is safe for concurrent use.
type Service struct {
	Options
	contact contact
	helpers helpers
	// serving bounds the calls that are made for other daemons at a time.
	serving chan struct{}
	served  served
	replies peer.Replies[*Response]
	// mutex guards Options.Random and pageTimes, which tells by space how long pages
	// of newest records took lately.
	mutex     sync.Mutex
	pageTimes map[string]time.Duration
}

// New returns a service.
func New(options Options) *Service {
	return &Service{
		Options: options,
		contact: newContact(),
		serving: make(chan struct{}, servingLimit),

		pageTimes: map[string]time.Duration{},
	}
}

// outcome is what became of a call.
type outcome struct {
	records []store.Record
	next    int64
	more    bool
	err     error
}

// isAnswered tells whether the store itself answered a call, also that it is full: another
// daemon would hear the same.
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

// callWays are the ways by which one call is being made, directly or by a helper.
type callWays struct {
	request  *Request
	answers  chan outcome
	underway int
	// helped: a helper was asked.
	helped bool
}

// start makes the call by one more way.
func (w *callWays) start(ctx context.Context, call func(context.Context, *Request) outcome) {
	w.underway++
	go func() { w.answers <- call(ctx, w.request) }()
}

// askHelper makes the call by way of a helper, once.
func (s *Service) askHelper(ctx context.Context, w *callWays) {
	if !w.helped {
		w.helped = true
		w.start(ctx, s.callHelper)
	}
}

// do makes a call directly, by way of a helper, or both.
func (s *Service) do(ctx context.Context, request *Request) outcome {
	request.Purpose = store.PurposeOf(ctx)
	ctx, progress := store.TrackProgress(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ways := &callWays{request: request, answers: make(chan outcome, 2)}
	if s.contact.mayCall(time.Now()) {
		ways.start(ctx, s.callDirect)
	} else {
		s.askHelper(ctx, ways)
	}
	started := time.Now()
	overdue := time.NewTimer(s.overdueTime(request))
	defer overdue.Stop()
	failed := outcome{next: request.From}
	arrived := progress.Bytes()
	for {
		select {
		case got := <-ways.answers:
			ways.underway--
			if isAnswered(got.err) {
				return got
			}
			failed.err = worse(failed.err, got.err)
			s.askHelper(ctx, ways)
			if ways.underway == 0 {
				return failed
			}
		case <-overdue.C:
			isArriving := progress.Bytes() > arrived
			arrived = progress.Bytes()
			if isArriving || s.isBusyPage(request, started) {
				overdue.Reset(overdueAfter)
				continue
			}
			s.askHelper(ctx, ways)
		case <-ctx.Done():
			failed.err = store.ErrOutcomeUnknown
			return failed
		}
	}
}

// overdueTime is how long a direct call may take until a helper makes it, too.
func (s *Service) overdueTime(request *Request) time.Duration {
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

// isBusyPage tells whether a page that is overdue is waited for all the same.
func (s *Service) isBusyPage(request *Request, started time.Time) bool {
	return request.Call == callNewest && request.Purpose.IsBulk() &&
		time.Since(started) < busyPageAfter && s.contact.hasAnsweredSince(started)
}

// notePageTime takes note of how long a page took.
func (s *Service) notePageTime(request *Request, took time.Duration) {
	if request.Call != callNewest {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fallen := time.Duration(pageTimeFall * float64(s.pageTimes[request.Partition.Space]))
	s.pageTimes[request.Partition.Space] = max(took, fallen)
}

// worse joins the errors of a call that was made in two ways: it may have been
// done if either of them may have done it.
func worse(a, b error) error {
	if a == nil || errors.Is(b, store.ErrOutcomeUnknown) {
		return b
	}
	return a
}

// callDirect makes a call without a helper, and takes note of whether the
// store answers.
func (s *Service) callDirect(ctx context.Context, request *Request) outcome {
	started := time.Now()
	watch := s.watchSilence(ctx, request, started)
	got := request.perform(ctx, s.Direct)
	watch.Stop()
	if got.err == nil {
		s.notePageTime(request, time.Since(started))
	}
	if !isAnswered(got.err) && errors.Is(ctx.Err(), context.Canceled) {
		return got // nobody waited for the answer any more
	}
	if errors.Is(got.err, store.ErrOutcomeUnknown) && s.contact.hasAnsweredSince(started) {
		s.Metrics.lateCall()
		return got
	}
	s.noteDirect(got.err)
	return got
}

// watchSilence takes note that the store does not answer if nothing of a direct call's answer
// arrives in time, until the watch is stopped.
func (s *Service) watchSilence(ctx context.Context, request *Request, started time.Time) (watch *time.Timer) {
	progress := store.ProgressOf(ctx)
	before := progress.Bytes()
	due := started.Add(request.wait())
	return time.AfterFunc(request.wait()+silentAfter, func() {
		if ctx.Err() == nil && progress.Bytes() == before && !s.contact.hasAnsweredSince(due) {
			s.noteDirect(store.ErrOutcomeUnknown)
		}
	})
}

// noteDirect takes the outcome of a direct call.
func (s *Service) noteDirect(err error) {
	if !isAnswered(err) {
		if s.contact.fail(time.Now()) {
			s.Logger.Warn().Err(err).Msg("The store does not answer. Calls go by way of other daemons, too.")
		}
		return
	}
	out := s.contact.answer(time.Now())
	if out == 0 {
		return
	}
	s.Logger.Info().Dur("out", out).Msg("The store answers again.")
	if out >= noticeAfter && s.contact.mayNotify(time.Now()) {
		s.notify()
	}
}

// notify tells the other daemons that the store answers again.
func (s *Service) notify() {
	for _, member := range s.View.Members() {
		if member.Daemon.ID != s.Self {
			s.Transport.Send(member.Daemon.ID, &Returned{})
		}
	}
}

// Returned implements store.Contact.
func (s *Service) Returned() <-chan struct{} { return s.contact.signal() }

// IsIsolated implements store.Contact.
func (s *Service) IsIsolated() bool {
	now := time.Now()
	return s.contact.failingFor(now) > isolatedAfter && s.helpers.silentFor(now) > isolatedAfter
}

// Receive takes a message that arrived; false means it is another part's.
func (s *Service) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Request:
		s.serve(from, message)
	case *Response:
		s.replies.Deliver(message.Number, message)
	case *Returned:
		if s.contact.hearOfReturn(time.Now()) {
			s.Logger.Info().Str("from", string(from)).Msg("Another daemon tells that the store answers again.")
		}
	default:
		return false
	}
	return true
}

var (
	_ store.Store   = (*Service)(nil)
	_ store.Contact = (*Service)(nil)
)
