package ledger

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// pendingAfter is when a holder says that a request takes a while, and
	// pendingPause separates such words while it waits for an append. It must
	// stay below answerWithin, even if one is late.
	pendingAfter = 120 * time.Millisecond
	pendingPause = 500 * time.Millisecond
	// endPause separates tries to settle a turn; it doubles up to
	// longestEndPause.
	endPause        = 150 * time.Millisecond
	longestEndPause = 600 * time.Millisecond
	// DefaultSettleTime suits a fleet whose daemons hear of each other within
	// some probes.
	DefaultSettleTime = 800 * time.Millisecond
)

const (
	// settledShare is the part of the daemons on record that must have been heard
	// of for a daemon to settle early: some of them may be gone for good.
	settledShare = 0.8
	// settledQuiet is how long no further daemon must have been heard of then:
	// several ways between zones.
	settledQuiet = 60 * time.Millisecond
	// settledLook separates looks at that.
	settledLook = 10 * time.Millisecond
	// handoverLook separates looks at whether all shards were passed on.
	handoverLook = 20 * time.Millisecond
)

// View is what the ledger sees of membership.
type View interface {
	membership.View
	// Lookup returns the latest run that was heard of at an address; false if none
	// was.
	Lookup(address string) (membership.Member, bool)
}

// Options give a Service what it works with.
type Options struct {
	// Name tells the ledger apart from others in messages, "" for that of all daemons.
	Name      string
	Self      structs.DaemonID
	Store     store.Store
	Transport peer.Transport
	View      View
	// Contact tells when the store answers again; nil if nothing does.
	Contact store.Contact
	// Partitions names every shard's partition, the same in the whole fleet.
	Partitions []store.Partition
	// Directory is the partition that tells who holds each shard.
	Directory store.Partition
	// SettleTime is how long a daemon that started waits for news of the
	// others before it asks for, or takes, any shard, unless the directory names a
	// holder of each: it would take them all.
	SettleTime time.Duration
	// Admission decides how long a turn waits to begin; nil for one of its own.
	Admission *admission.Admission
	// Expected returns how many daemons are on record, this one included, 0 if
	// that is not known: one that heard of most of them settles early.
	Expected func() int
	// Confirmations are of the routes, which daemons tell each other along with what
	// they say of tenants' limits; nil if there are none.
	Confirmations Confirmations
	// Evacuations are which zones the operators evacuated, which daemons tell each
	// other along with all answers; nil if that is no matter.
	Evacuations Evacuations
	// StoreReadBytes is how many bytes the store reads in a second for the whole fleet;
	// 0 if that is not known: then nothing is paced by it.
	StoreReadBytes float64
	// AsksOnly: the daemon holds no shard, whoever asks it to.
	AsksOnly bool
	// Machine is the steady clock of the machine that the daemon runs on.
	Machine MachineClock
	// Quota are the terms on which the holder of a tenant's shard owns its limit.
	Quota   quota.Terms
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Service is a daemon's way to the ledger: it asks the holders of shards, and
// holds those that fall to this daemon. It is safe for concurrent use.
type Service struct {
	Options
	holders []*holder
	records *recordStore
	known   *holderTable
	// texts are those of chains that this daemon had to do with lately.
	texts   texts
	avoided avoided
	sight   sight
	pace    pace
	// troubles are those of shards that this daemon asked for.
	troubles troubles
	leaving  chan struct{}
	left     sync.Once
	replies  peer.Replies[Response]
	settled  chan struct{}
}

// NewService returns a service; Run makes it work.
func NewService(options Options) *Service {
	s := &Service{
		Options: options,
		known:   newHolderTable(len(options.Partitions)),
		settled: make(chan struct{}),
		leaving: make(chan struct{}),
	}
	if s.Admission == nil {
		s.Admission = &admission.Admission{}
	}
	contact := options.Contact
	if contact == nil {
		contact = store.NoContact{}
	}
	s.records = &recordStore{
		Store: options.Store, contact: contact,
		pages: make(slots, pagesAtOnce), histories: make(slots, historiesAtOnce),
	}
	readingAhead := make(chan struct{}, 1)
	for i, partition := range options.Partitions {
		s.holders = append(s.holders, &holder{
			shard:      i,
			partition:  partition,
			daemon:     string(options.Self),
			records:    s.records,
			logger:     options.Logger.With().Int("shard", i).Logger(),
			metrics:    options.Metrics,
			operations: make(chan operation, operationQueue),
			directory:  options.Directory,
			leaving:    s.leaving,
			known:      s.known,
			fleet:      s,
			quotaTerms: options.Quota,
			machine:    options.Machine,

			confirmations: options.Confirmations,

			readingAhead: readingAhead,
		})
	}
	return s
}

// Run works until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { s.watchSight(ctx) })
	workers.Go(func() { s.settle(ctx) })
	for _, h := range s.holders {
		workers.Go(func() { h.run(ctx) })
	}
	workers.Wait()
}

// settle waits until the daemon knows who holds the shards, or had time to hear of
// the others: it would take all shards.
func (s *Service) settle(ctx context.Context) {
	started := time.Now()
	reading, cancel := context.WithTimeout(ctx, s.SettleTime)
	defer cancel()
	go s.readHolders(reading)
	heard, heardAt := 0, started
	for time.Since(started) < s.SettleTime && ctx.Err() == nil && !s.known.isComplete() {
		if members := len(s.View.Members()); members != heard {
			heard, heardAt = members, time.Now()
		}
		if s.hasHeardMost(heard) && time.Since(heardAt) >= settledQuiet {
			break
		}
		clock.Sleep(ctx, min(settledLook, s.SettleTime-time.Since(started)))
	}
	s.Logger.Info().Int("members", heard).Bool("holders_known", s.known.isComplete()).
		Dur("took", time.Since(started)).Msg("Settled.")
	close(s.settled)
}

// readHolders reads who holds the shards by the directory.
func (s *Service) readHolders(ctx context.Context) {
	records, _, err := s.records.newest(store.WithPurpose(ctx, store.PurposeDirectory), s.Directory, func() {})
	if err != nil {
		s.Logger.Info().Err(err).Msg("Directory not read. Holders are asked for.")
		return
	}
	for shard := range s.holders {
		s.known.note(shard, holderUnder(strconv.Itoa(shard), records))
	}
}

// hasHeardMost tells whether most daemons on record were heard of.
func (s *Service) hasHeardMost(heard int) bool {
	if s.Expected == nil {
		return false
	}
	expected := s.Expected()
	return expected > 0 && float64(heard) >= settledShare*float64(expected)
}

// IsSettled tells whether the daemon had time to hear of the others.
func (s *Service) IsSettled() bool { return isClosed(s.settled) }

// Leave stops holding shards: others take them over.
func (s *Service) Leave() { s.left.Do(func() { close(s.leaving) }) }

// WaitForHandover waits, after Leave, until this daemon holds no shard any more and
// is to take none that it read ahead, no other daemon could take one, or ctx ends.
func (s *Service) WaitForHandover(ctx context.Context) {
	for s.isNeeded(time.Now()) && s.successor(0, []structs.DaemonID{s.Self}, time.Now()) != "" && ctx.Err() == nil {
		clock.Sleep(ctx, handoverLook)
	}
}

func (s *Service) isNeeded(now time.Time) bool {
	return slices.ContainsFunc(s.holders, func(h *holder) bool { return h.holding.Load() || h.isPromised(now) })
}

func (s *Service) isLeaving() bool { return isClosed(s.leaving) }

// shardOf returns the shard of a program.
func (s *Service) shardOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(len(s.holders)))
}

// Begin reserves a turn's tokens and returns the history before it. The deadline
// of ctx is when that stops to be of use: a turn that waits for a store which will
// hardly be back by then is given up. After ErrUnavailable, a HeldUpError, it is not
// known whether they are reserved: the same turn may be tried again, which reserves
// them once, or must be abandoned.
func (s *Service) Begin(ctx context.Context, turn Turn) (Grant, error) {
	shard := s.shardOf(turn.Program)
	text, known := s.texts.get(turn.Previous)
	turn.HistoryKnown = known
	response := s.ask(ctx, shard, Request{Begin: &turn})
	if response.Result == resultUnknownTurn && turn.Imported == nil {
		found, err := s.findElsewhere(ctx, shard, turn.Previous)
		if err != nil {
			return Grant{}, err
		}
		turn.Imported = found
		response = s.ask(ctx, shard, Request{Begin: &turn})
	}
	switch response.Result {
	case resultOK:
		if response.Grant.HistoryLeftOut {
			response.Grant.History = text
		} else {
			s.remember(turn.Previous, response.Grant.History)
		}
		return response.Grant, nil
	case resultBudgetSpent:
		return Grant{}, ErrBudgetSpent
	case resultUnknownTurn:
		return Grant{}, ErrUnknownTurn
	}
	return Grant{}, s.heldUp(shard, response.Result)
}

// remember keeps the text of a chain for the next turn, unless the daemon may not have
// it beyond what passes through.
func (s *Service) remember(turn string, text []byte) {
	if !s.AsksOnly {
		s.texts.put(turn, slices.Clip(text))
	}
}

// Abandon ends a turn of which it is not known whether it was reserved: it
// can not be reserved later either. It returns at once.
func (s *Service) Abandon(turn Turn) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endedLife/2)
		defer cancel()
		_ = s.End(ctx, Outcome{Turn: turn.ID, Program: turn.Program})
	}()
}

// End settles a turn. It tries until the outcome is durable or ctx ends, or
// fails with ErrUnknownTurn if the turn is to be kept and its chain is gone.
func (s *Service) End(ctx context.Context, outcome Outcome) error {
	shard := s.shardOf(outcome.Program)
	if outcome.Kept == nil {
		s.spreadClaim(ctx, shard)
	}
	for wait := endPause; ; wait = min(2*wait, longestEndPause) {
		asked := outcome // a holder may still have it when the chain is added
		response := s.ask(ctx, shard, Request{End: &asked})
		switch response.Result {
		case resultOK:
			if outcome.Kept != nil && !s.AsksOnly {
				s.texts.goOn(outcome.Kept)
			}
			return nil
		case resultUnknownTurn:
			chain, err := s.findElsewhere(ctx, shard, outcome.Kept.Previous)
			if errors.Is(err, ErrUnknownTurn) {
				return err
			}
			outcome.Imported = chain
			if err == nil {
				continue
			}
		}
		if ctx.Err() != nil {
			return eris.Wrapf(ErrUnavailable, "shard %d: %s", shard, response.Result)
		}
		clock.Sleep(ctx, wait)
	}
}

// Find returns a turn of a program with its whole chain as one turn. ErrUnknownTurn
// means that every shard is sure not to keep it.
func (s *Service) Find(ctx context.Context, program, turn string) (*KeptTurn, error) {
	shard := s.shardOf(program)
	response := s.ask(ctx, shard, Request{Find: &Find{Turn: turn}})
	switch {
	case response.Found != nil:
		return response.Found, nil
	case response.Result != resultUnknownTurn:
		return nil, s.heldUp(shard, response.Result)
	}
	return s.findElsewhere(ctx, noShard, turn)
}

// noShard stands where no shard is left out.
const noShard = -1

// findElsewhere looks for a turn in all other shards. ErrUnknownTurn means
// that every one of them is sure not to keep it.
func (s *Service) findElsewhere(ctx context.Context, except int, turn string) (*KeptTurn, error) {
	if found, _ := s.findAll(ctx, except, Find{Turn: turn}); found != nil {
		return found, nil
	}
	found, sure := s.findAll(ctx, except, Find{Turn: turn, Certain: true})
	switch {
	case found != nil:
		return found, nil
	case sure:
		return nil, ErrUnknownTurn
	}
	return nil, eris.Wrapf(ErrUnavailable, "turn %s: not all shards could be asked", turn)
}

func (s *Service) findAll(ctx context.Context, except int, find Find) (found *KeptTurn, sure bool) {
	responses := make(chan Response, len(s.holders))
	asked := 0
	for shard := range s.holders {
		if shard == except {
			continue
		}
		asked++
		go func() { responses <- s.ask(ctx, shard, Request{Find: &find}) }()
	}
	sure = true
	for range asked {
		response := <-responses
		if response.Found != nil {
			return response.Found, true
		}
		sure = sure && response.Result == resultUnknownTurn
	}
	return nil, sure
}

// Receive takes a message that arrived; false means it is another part's.
func (s *Service) Receive(from structs.DaemonID, message peer.Message) bool {
	if name, known := LedgerOf(message); !known || name != s.Name {
		return false
	}
	switch message := message.(type) {
	case *Request:
		s.operate(message, func(response Response) {
			response.Ledger = s.Name
			response.Evacuations = s.tellEvacuations(message.OrdersEnd)
			s.Transport.Send(from, &response)
		})
	case *Response:
		s.hearEvacuations(message.Evacuations)
		s.deliver(*message)
	default:
		return false
	}
	return true
}

// operate hands a request to its shard's holder. If that takes a while, the
// asker is told so, again and again while the holder is busy.
func (s *Service) operate(request *Request, reply func(Response)) {
	if s.AsksOnly || request.Shard < 0 || request.Shard >= len(s.holders) || !request.isWhole() {
		reply(Response{Number: request.Number, Result: resultMoved})
		return
	}
	holder := s.holders[request.Shard]
	if request.Confirm {
		reply(holder.confirm(request.Number))
		return
	}
	stop := tellPending(request, holder, reply)
	o := operation{request: request, reply: func(response Response) {
		stop()
		reply(response)
	}}
	select {
	case holder.operations <- o:
	default:
		o.reply(Response{Number: request.Number, Result: resultImpaired})
	}
}

// tellPending tells the asker that its request takes a while, until stop.
func tellPending(request *Request, holder *holder, reply func(Response)) (stop func()) {
	after := pendingAfter
	if !request.isUrgent() {
		after += settleDelay
	}
	var mutex sync.Mutex
	stopped := false
	var timer *time.Timer
	tell := func() {
		mutex.Lock()
		defer mutex.Unlock()
		if stopped {
			return
		}
		now := time.Now()
		reply(Response{
			Number: request.Number, Result: resultPending,
			StoreOutMS:  holder.storeOutFor(now).Milliseconds(),
			AllowedInMS: holder.allowedIn(now).Milliseconds(),
		})
		if holder.isBusy() {
			timer.Reset(pendingPause)
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	timer = time.AfterFunc(after, tell)
	return func() {
		mutex.Lock()
		defer mutex.Unlock()
		stopped = true
		timer.Stop()
	}
}

// causeTake is the kind of a request by which a holder passes its shard on.
const causeTake = "take"

// kind names what a request asks for, for the log.
func (r *Request) kind() string {
	switch {
	case r.Begin != nil:
		return "begin"
	case r.End != nil:
		return "end"
	case r.Find != nil:
		return "find"
	case r.Quota != nil:
		return "quota"
	case r.Prepare:
		return "prepare"
	}
	return causeTake
}

// isWhole tells whether a request asks for something.
func (r *Request) isWhole() bool {
	return r.Begin != nil || r.End != nil || r.Find != nil || r.Quota != nil || r.Prepare || r.Take ||
		r.Superseded != nil || r.Confirm
}

// isClosed tells whether a channel that carries nothing was closed.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}
