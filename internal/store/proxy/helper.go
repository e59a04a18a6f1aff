package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// helperTimeout is how long beyond the wait of the call a helper may take to answer until
	// another one is asked: a few round trips between zones and one answer of a slow store.
	helperTimeout = 600 * time.Millisecond
	// helperPageShare is the share of the caller's remaining time that a helper may use to read a
	// page of newest records, if that is more than helperTimeout. A page may be a megabyte, and a
	// second helper must still have time.
	helperPageShare = 0.5
	// silentHelperPause is how long a helper that did not answer is not asked.
	silentHelperPause = 3 * time.Second
	// otherRegionsTime is how long helpers of all regions may be asked after one of this daemon's
	// region failed, since whatever keeps that one from the store may affect the whole region.
	otherRegionsTime = 5 * time.Second
	// noHelperPause is how long no helper is asked after one answered that it does not reach the
	// store either, or that it is at its limit.
	noHelperPause = 250 * time.Millisecond
)

// helpedPrefix is prepended to the purpose of calls made for another daemon.
const helpedPrefix = "helped_"

// errNoHelper: no other daemon can be asked to make the call.
var errNoHelper = eris.Wrap(store.ErrUnavailable, "proxy: no other daemon can make the call")

// helpers tracks the daemons that can be asked to make calls.
type helpers struct {
	mutex sync.Mutex
	// chosen is the helper in use, "" for none.
	chosen structs.DaemonID
	// avoided are the helpers that did not answer recently.
	avoided peer.Avoided
	// noHelperUntil is until when no helper is asked.
	noHelperUntil time.Time
	// unansweredSince is when a helper was first asked after the last answer of one; zero if none
	// was.
	unansweredSince time.Time
	// otherRegionsUntil is until when helpers of other regions may be asked, too.
	otherRegionsUntil time.Time
}

// candidate is a daemon that may be asked to make a call.
type candidate struct {
	id structs.DaemonID
	// sameRegion: it is in this daemon's region.
	sameRegion bool
}

// choose returns the helper to ask. It is one of this daemon's region unless there is none or one
// failed recently.
func (h *helpers) choose(found []candidate, pick func(int) int, now time.Time) (structs.DaemonID, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Before(h.noHelperUntil) {
		return "", false
	}
	candidates := h.usable(found, now.Before(h.otherRegionsUntil), now)
	if len(candidates) == 0 {
		candidates = h.usable(found, true, now)
	}
	if len(candidates) == 0 {
		return "", false
	}
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
	if !slices.Contains(candidates, h.chosen) {
		h.chosen = candidates[pick(len(candidates))]
	}
	return h.chosen, true
}

// usable returns the candidates that did not fail to answer recently; those of other regions only
// if withOtherRegions is set.
func (h *helpers) usable(found []candidate, withOtherRegions bool, now time.Time) []structs.DaemonID {
	var usable []structs.DaemonID
	for _, c := range found {
		if (withOtherRegions || c.sameRegion) && !h.avoided.Has(c.id, now) {
			usable = append(usable, c.id)
		}
	}
	return usable
}

// recordAnswer records an answer of a helper. reachedStore is false if the helper did not reach the
// store either.
func (h *helpers) recordAnswer(reachedStore bool, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unansweredSince = time.Time{}
	if !reachedStore {
		h.chosen = ""
		h.noHelperUntil = now.Add(noHelperPause)
		h.otherRegionsUntil = now.Add(otherRegionsTime)
	}
}

// recordTimeout excludes a helper that did not answer for a while.
func (h *helpers) recordTimeout(id structs.DaemonID, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.avoided.Add(id, now, silentHelperPause)
	h.otherRegionsUntil = now.Add(otherRegionsTime)
	if h.chosen == id {
		h.chosen = ""
	}
}

// silentFor returns how long the helpers that were asked have not answered.
func (h *helpers) silentFor(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(h.unansweredSince)
}

// candidates returns the other daemons that are alive and may make calls about a partition.
func (s *Service) candidates(partition store.Partition) []candidate {
	var candidates []candidate
	for _, member := range s.View.Members() {
		mayHelp := s.MayHelp == nil || s.MayHelp(partition, member.Daemon)
		if member.Daemon.ID != s.Self && member.State == membership.StateAlive && mayHelp {
			candidates = append(candidates, candidate{id: member.Daemon.ID, sameRegion: member.Daemon.Region == s.Region})
		}
	}
	return candidates
}

func (s *Service) pick(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Random.IntN(n)
}

// callHelper makes a call by way of another daemon.
func (s *Service) callHelper(ctx context.Context, request *Request) outcome {
	helper, found := s.helpers.choose(s.candidates(request.Partition), s.pick, time.Now())
	if !found {
		return outcome{next: request.From, err: errNoHelper}
	}
	response := s.ask(ctx, helper, request)
	now := time.Now()
	if response == nil {
		if ctx.Err() == nil {
			s.helpers.recordTimeout(helper, now)
			s.Metrics.countAsked("silent")
		}
		return outcome{next: request.From, err: eris.Wrapf(store.ErrOutcomeUnknown, "proxy: no answer from helper %s", helper)}
	}
	got := response.outcome()
	s.helpers.recordAnswer(isAnswered(got.err), now)
	s.Metrics.countAsked(string(response.Result))
	return got
}

// helperTimeoutFor returns how long a helper may take to answer.
func helperTimeoutFor(ctx context.Context, request *Request) time.Duration {
	timeout := request.wait() + helperTimeout
	deadline, bounded := ctx.Deadline()
	if request.Call != callNewest || !bounded {
		return timeout
	}
	return max(timeout, time.Duration(helperPageShare*float64(time.Until(deadline))))
}

// ask sends a call to a helper and waits for the answer; nil if none arrived.
func (s *Service) ask(ctx context.Context, helper structs.DaemonID, request *Request) *Response {
	timeout := helperTimeoutFor(ctx, request)
	sent := *request
	sent.Purpose = helpedPrefix + request.Purpose
	sent.WithinMS = timeout.Milliseconds()
	response, _ := s.replies.Ask(ctx, timeout, func(number uint64) { // nil if no answer arrived
		sent.Number = number
		s.Transport.Send(helper, &sent)
	})
	return response
}
