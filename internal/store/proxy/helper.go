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
	// helperSilence is how long a helper may say nothing, beyond the wait that
	// the call asks for, until another is asked: some ways between zones and
	// one answer of a store that is slow.
	helperSilence = 600 * time.Millisecond
	// pageShare is the part of the asker's time that a helper may take for a page of
	// newest records, which may be a megabyte, if that is more: a second helper can
	// be asked after it.
	pageShare = 0.5
	// avoidSilent is how long a helper that said nothing is not asked.
	avoidSilent = 3 * time.Second
	// otherRegionsTime is for how long helpers of all regions may be asked after one of the
	// own region failed: what keeps that from the store may be common to the region. A
	// helper of another region answers a few one-way delays of 8 ms later.
	otherRegionsTime = 5 * time.Second
	// outPause is how long no helper is asked after one said that it cannot
	// reach the store either, or makes calls enough for others.
	outPause = 250 * time.Millisecond
)

// helpedPrefix marks the purpose of calls that are made for another daemon.
const helpedPrefix = "helped_"

// errNoHelper: no daemon can be asked to pass a call on.
var errNoHelper = eris.Wrap(store.ErrUnavailable, "proxy: no other daemon to pass the call on")

// helpers is what is known of the daemons that may pass calls on.
type helpers struct {
	mutex sync.Mutex
	// chosen is the helper that answered last, "" for none.
	chosen structs.DaemonID
	// avoided helpers said nothing.
	avoided peer.Avoided
	// outUntil is until when no helper is asked.
	outUntil time.Time
	// unansweredSince is when a helper was first asked since one answered; zero
	// if none was.
	unansweredSince time.Time
	// otherRegionsUntil is until when helpers of other regions come into question, too.
	otherRegionsUntil time.Time
}

// candidate is a daemon that may pass calls on.
type candidate struct {
	id structs.DaemonID
	// near: it is of the own region.
	near bool
}

// choose returns the helper to ask: one of the own region, unless there is none or one
// failed lately.
func (h *helpers) choose(found []candidate, pick func(int) int, now time.Time) (structs.DaemonID, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Before(h.outUntil) {
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

// usable lists the candidates that did not keep silent lately, those of other regions only
// if withOtherRegions is set.
func (h *helpers) usable(found []candidate, withOtherRegions bool, now time.Time) []structs.DaemonID {
	var usable []structs.DaemonID
	for _, c := range found {
		if (withOtherRegions || c.near) && !h.avoided.Has(c.id, now) {
			usable = append(usable, c.id)
		}
	}
	return usable
}

// note takes a helper's answer; helped is false if it could not reach the store
// either.
func (h *helpers) note(helped bool, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unansweredSince = time.Time{}
	if !helped {
		h.chosen = ""
		h.outUntil = now.Add(outPause)
		h.otherRegionsUntil = now.Add(otherRegionsTime)
	}
}

// noteSilent passes a helper over that said nothing.
func (h *helpers) noteSilent(id structs.DaemonID, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.avoided.Add(id, now, avoidSilent)
	h.otherRegionsUntil = now.Add(otherRegionsTime)
	if h.chosen == id {
		h.chosen = ""
	}
}

// silentFor returns for how long helpers that were asked have said nothing.
func (h *helpers) silentFor(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(h.unansweredSince)
}

// candidates are the other daemons that live and may make a call about a partition.
func (s *Service) candidates(partition store.Partition) []candidate {
	var candidates []candidate
	for _, member := range s.View.Members() {
		mayHelp := s.MayHelp == nil || s.MayHelp(partition, member.Daemon)
		if member.Daemon.ID != s.Self && member.State == membership.StateAlive && mayHelp {
			candidates = append(candidates, candidate{id: member.Daemon.ID, near: member.Daemon.Region == s.Region})
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
			s.helpers.noteSilent(helper, now)
			s.Metrics.asked("silent")
		}
		return outcome{next: request.From, err: eris.Wrapf(store.ErrOutcomeUnknown, "proxy: %s says nothing", helper)}
	}
	got := response.outcome()
	s.helpers.note(isAnswered(got.err), now)
	s.Metrics.asked(string(response.Result))
	return got
}

// helperPatience is how long a helper may say nothing.
func helperPatience(ctx context.Context, request *Request) time.Duration {
	patience := request.wait() + helperSilence
	deadline, bounded := ctx.Deadline()
	if request.Call != callNewest || !bounded {
		return patience
	}
	return max(patience, time.Duration(pageShare*float64(time.Until(deadline))))
}

// ask sends a call to a helper and waits for its answer; nil means none came.
func (s *Service) ask(ctx context.Context, helper structs.DaemonID, request *Request) *Response {
	patience := helperPatience(ctx, request)
	sent := *request
	sent.Purpose = helpedPrefix + request.Purpose
	sent.WithinMS = patience.Milliseconds()
	response, _ := s.replies.Ask(ctx, patience, func(number uint64) { // nil if none came
		sent.Number = number
		s.Transport.Send(helper, &sent)
	})
	return response
}
