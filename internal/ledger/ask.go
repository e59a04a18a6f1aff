package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// silence is how long a holder may say nothing before it is passed over.
	silence = 300 * time.Millisecond
	// answerWithin bounds how long a holder is waited for that said that a
	// request takes a while.
	answerWithin = 1500 * time.Millisecond
	// answersKept bounds the answers to one request that were not taken yet: all
	// but the last only say that it takes a while.
	answersKept = 8
	// candidateTries is how many daemons are asked for one request: beside a planned
	// handover the former holder and its successor, some of them twice.
	candidateTries = 6
	// holderTries is how often a holder that lives is asked that says nothing,
	// until another daemon is asked to take the shard: one message may be lost,
	// and a takeover forfeits headroom.
	holderTries = 2
	// impairedTries is how many daemons must be unable to reach a shard's
	// partition until it counts as out for all.
	impairedTries = 2
)

// ask sends a request to the daemon that holds the shard, as far as is known,
// and to the one that should hold it if there is bad news of the holder.
func (s *Service) ask(ctx context.Context, shard int, request Request) Response {
	request.Shard = shard
	last := Response{Result: resultMoved}
	var asked []structs.DaemonID // they did not answer or could not
	var moved movedAnswers
	select {
	case <-s.settled:
	case <-ctx.Done():
		return last
	}
	impaired, silences := 0, 0
	for range candidateTries {
		known := s.known.get(shard)
		target, failed := s.choose(shard, slices.Concat(asked, moved.about(known)), time.Now())
		if target == "" {
			break
		}
		request.setFailed(failed, known)
		response := s.askOne(ctx, target, request)
		if response.Result == resultSilent && failed == 0 && ctx.Err() == nil {
			if silences++; silences < holderTries {
				last = response
				continue
			}
		}
		if ctx.Err() == nil {
			s.avoided.note(shard, target, response.Result)
		}
		s.known.noteAnswer(shard, response)
		s.capacity.estimate.Merge(response.StoreReports, time.Now())
		s.noteAnswer(shard, response.Result, time.Now())
		if response.Result.endsAsking() || response.gaveUp {
			return response
		}
		if response.Result == resultMoved {
			moved = append(moved, movedAnswer{target, s.knownTo(shard, response, known)})
		} else {
			asked = append(asked, target)
		}
		last = response
		if response.Result == resultImpaired {
			impaired++
		}
		if ctx.Err() != nil || impaired >= impairedTries {
			break
		}
	}
	return last
}

// setFailed tells of which claim there is bad news, 0 for none, and whose it is, if that
// is known and was not given up.
func (r *Request) setFailed(failed uint64, known knownHolder) {
	r.FailedEpoch, r.FailedHolder = failed, ""
	if failed != 0 && failed == known.Epoch && !known.released {
		r.FailedHolder = known.Daemon
	}
}

// knownTo returns what a daemon that answered knew of the holder: what is known here
// by now, if it says the same, or else at most what was known when it was asked.
func (s *Service) knownTo(shard int, response Response, whenAsked knownHolder) knownHolder {
	told := knownHolder{holderRecord: holderRecord{Epoch: response.Epoch, Daemon: response.Holder}, released: response.Released}
	if now := s.known.get(shard); now.isSameClaim(told) {
		return now
	}
	return whenAsked
}

// movedAnswer is a daemon's word that it does not hold a shard, and what it knew of
// the shard's holder.
type movedAnswer struct {
	daemon structs.DaemonID
	known  knownHolder
}

type movedAnswers []movedAnswer

// about returns the daemons whose word came while no more was known than now. What
// is known may have come by another request: the word of a successor from before the
// release must not send a third daemon to take the shard.
func (m movedAnswers) about(known knownHolder) []structs.DaemonID {
	var daemons []structs.DaemonID
	for _, answer := range m {
		if answer.known.isSameClaim(known) {
			daemons = append(daemons, answer.daemon)
		}
	}
	return daemons
}

// askOne sends a request to one daemon and waits for its answer. A daemon that
// says nothing counts as impaired.
func (s *Service) askOne(ctx context.Context, to structs.DaemonID, request Request) Response {
	number, answers, forget := s.replies.Expect(answersKept)
	defer forget()
	request.Number = number
	if to == s.Self {
		s.operate(&request, s.deliver)
	} else {
		request.Ledger = s.Name
		request.EvacuationsEnd = s.evacuationsEnd()
		s.Transport.Send(to, &request)
	}
	timer := time.NewTimer(request.patience())
	defer timer.Stop()
	storeOut := false
	var hopeless <-chan time.Time
	for {
		select {
		case response := <-answers:
			if response.Result != resultPending {
				return response
			}
			timer.Reset(answerWithin)
			storeOut = response.StoreOutMS > 0
			if !storeOut {
				continue
			}
			if until, bounded := s.boundOf(ctx, request, response); bounded {
				hopeless = time.After(time.Until(until))
			}
		case <-timer.C:
			s.Metrics.silent()
			return Response{Result: resultSilent}
		case <-hopeless:
			return Response{Result: resultImpaired, gaveUp: true}
		case <-ctx.Done():
			if storeOut {
				return Response{Result: resultImpaired}
			}
			return Response{Result: resultSilent}
		}
	}
}

// boundOf is until when an asker waits for a holder that waits for the store. Only a
// turn that is to begin is given up early: the end of one is an answer that is ready.
func (s *Service) boundOf(ctx context.Context, request Request, pending Response) (until time.Time, bounded bool) {
	worthless, hasDeadline := ctx.Deadline()
	if request.Begin == nil || !hasDeadline {
		return time.Time{}, false
	}
	now := time.Now()
	outFor := time.Duration(pending.StoreOutMS) * time.Millisecond
	until = s.hopeUntil(request.Shard, outFor, worthless, now)
	allowed := now.Add(time.Duration(pending.AllowedInMS) * time.Millisecond)
	if pending.AllowedInMS > 0 && allowed.After(until) && allowed.Before(worthless) {
		return allowed, true // whether the store is back by then or not
	}
	return until, true
}

func (s *Service) deliver(response Response) { s.replies.Deliver(response.Number, response) }

// patience is how long the holder may say nothing to a request. One that
// nobody waits for may ride along with others.
func (r *Request) patience() time.Duration {
	if r.isUrgent() {
		return silence
	}
	return settleDelay + silence
}

// isUrgent tells whether somebody waits for the answer.
func (r *Request) isUrgent() bool { return r.End == nil || r.End.Kept != nil }
