package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// silenceTimeout is how long a holder may not answer at all before it is passed over.
	silenceTimeout = 300 * time.Millisecond
	// pendingTimeout bounds the wait for a holder after it answered that a request is
	// pending.
	pendingTimeout = 1500 * time.Millisecond
	// answerBuffer bounds the answers to one request that were not processed yet; all but
	// the last are resultPending.
	answerBuffer = 8
	// candidateTries is how many daemons are asked for one request. During a planned
	// handover the former holder and its successor may each be asked twice.
	candidateTries = 6
	// holderTries is how often a live but silent holder is asked before another daemon is
	// asked to take the shard: a message may have been lost, and a takeover forfeits
	// headroom.
	holderTries = 2
	// impairedTries is how many daemons must fail to reach a shard's partition before it
	// counts as unreachable for all.
	impairedTries = 2
)

// ask sends a request to the presumed holder of the shard, or to the daemon that should
// hold it if the holder was reported as failed.
func (s *Service) ask(ctx context.Context, shard int, request Request) Response {
	request.Shard = shard
	last := Response{Result: resultMoved}
	var asked []structs.DaemonID // did not answer or could not serve the request
	var moved movedAnswers
	select {
	case <-s.discovered:
	case <-ctx.Done():
		return last
	}
	impaired, silences := 0, 0
	for range candidateTries {
		known := s.known.get(shard)
		target, failedEpoch := s.chooseTarget(shard, slices.Concat(asked, moved.basedOn(known)), time.Now())
		if target == "" {
			break
		}
		request.setFailed(failedEpoch, known)
		response := s.askOne(ctx, target, request)
		if response.Result == resultSilent && failedEpoch == 0 && ctx.Err() == nil {
			if silences++; silences < holderTries {
				last = response
				continue
			}
		}
		if ctx.Err() == nil {
			s.avoidList.note(shard, target, response.Result)
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

// setFailed sets the epoch of the claim that failed to answer, 0 for none, and its holder
// if that is known and has not released the shard.
func (r *Request) setFailed(failedEpoch uint64, known knownHolder) {
	r.FailedEpoch, r.FailedHolder = failedEpoch, ""
	if failedEpoch != 0 && failedEpoch == known.Epoch && !known.released {
		r.FailedHolder = known.Daemon
	}
}

// knownTo returns what an answering daemon knew about the holder: the current local
// knowledge if it is the same, or otherwise at most what was known when the daemon was
// asked.
func (s *Service) knownTo(shard int, response Response, whenAsked knownHolder) knownHolder {
	told := knownHolder{holderRecord: holderRecord{Epoch: response.Epoch, Daemon: response.Holder}, released: response.Released}
	if now := s.known.get(shard); now.isSameClaim(told) {
		return now
	}
	return whenAsked
}

// movedAnswer is a daemon's answer that it does not hold a shard, with what it knew about
// the shard's holder.
type movedAnswer struct {
	daemon structs.DaemonID
	known  knownHolder
}

type movedAnswers []movedAnswer

// basedOn returns the daemons whose answers are based on the knowledge that is current now.
// Newer knowledge may have come by another request: an answer that a successor gave before
// the release must not send a third daemon to take the shard.
func (m movedAnswers) basedOn(known knownHolder) []structs.DaemonID {
	var daemons []structs.DaemonID
	for _, answer := range m {
		if answer.known.isSameClaim(known) {
			daemons = append(daemons, answer.daemon)
		}
	}
	return daemons
}

// askOne sends a request to one daemon and waits for its answer. A daemon that does not
// answer counts as silent.
func (s *Service) askOne(ctx context.Context, to structs.DaemonID, request Request) Response {
	number, answers, forget := s.replies.Expect(answerBuffer)
	defer forget()
	request.Number = number
	if to == s.Self {
		s.dispatch(&request, s.deliver)
	} else {
		request.Ledger = s.Name
		request.EvacuationsEnd = s.knownEvacuationsEnd()
		s.Transport.Send(to, &request)
	}
	timer := time.NewTimer(request.answerTimeout())
	defer timer.Stop()
	storeOut := false
	var giveUp <-chan time.Time
	for {
		select {
		case response := <-answers:
			if response.Result != resultPending {
				return response
			}
			timer.Reset(pendingTimeout)
			storeOut = response.StoreOutMS > 0
			giveUp = nil // the latest answer alone decides
			if !storeOut {
				continue
			}
			if until, bounded := s.waitLimit(ctx, request, response); bounded {
				giveUp = time.After(time.Until(until))
			}
		case <-timer.C:
			s.Metrics.silent()
			return Response{Result: resultSilent}
		case <-giveUp:
			return Response{Result: resultImpaired, gaveUp: true}
		case <-ctx.Done():
			if storeOut {
				return Response{Result: resultImpaired}
			}
			return Response{Result: resultSilent}
		}
	}
}

// waitLimit returns until when to wait for a holder that waits for the store. Only the begin
// of a turn is given up early: at its end the answer is complete and must still be
// recorded.
func (s *Service) waitLimit(ctx context.Context, request Request, pending Response) (until time.Time, bounded bool) {
	latestStart, hasDeadline := ctx.Deadline()
	if request.Begin == nil || !hasDeadline {
		return time.Time{}, false
	}
	now := time.Now()
	outFor := time.Duration(pending.StoreOutMS) * time.Millisecond
	until = s.waitUntil(request.Shard, outFor, latestStart, now)
	allowed := now.Add(time.Duration(pending.AllowedInMS) * time.Millisecond)
	if pending.AllowedInMS > 0 && allowed.After(until) && allowed.Before(latestStart) {
		return allowed, true // whether the store is back by then or not
	}
	return until, true
}

func (s *Service) deliver(response Response) { s.replies.Deliver(response.Number, response) }

// answerTimeout returns how long the holder may stay silent on a request. Requests that no
// caller waits for may be batched with others.
func (r *Request) answerTimeout() time.Duration {
	if r.isUrgent() {
		return silenceTimeout
	}
	return settleDelay + silenceTimeout
}

// isUrgent reports whether a caller waits for the answer.
func (r *Request) isUrgent() bool { return r.End == nil || r.End.Kept != nil }
