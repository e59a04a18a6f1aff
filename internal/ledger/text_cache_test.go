package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// chainOf runs some turns of one program at a service, each continuing from the last, and
// returns the last turn and the text of the chain.
func chainOf(t *testing.T, s *Service, program string, turns int) (last string, text []byte) {
	t.Helper()
	for i := range turns {
		turn := Turn{ID: fmt.Sprint(program, "-", i), Program: program, Previous: last, Retention: time.Minute}
		grant, err := s.Begin(testContext(t), turn)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(grant.History, text) {
			t.Errorf("turn %s: history %q, want %q", turn.ID, grant.History, text)
		}
		kept := &KeptTurn{ID: turn.ID, Previous: last, Input: []byte("<" + turn.ID), Output: []byte(">")}
		end(t, s, Outcome{Turn: turn.ID, Program: program, Retention: time.Minute, Kept: kept})
		last, text = turn.ID, append(bytes.Clone(text), "<"+turn.ID+">"...)
	}
	return last, text
}

// TestHistoryIsSentOnceToTheDaemonThatGoesOn: a daemon caches the texts that it sent or
// received, and any other daemon receives the full text.
func TestHistoryIsSentOnceToTheDaemonThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "first", Program: "p"}) // some daemon holds the shard
		s := f.other("p")
		last, text := chainOf(t, s, "p", 4)
		if got := f.historySent(); got > 0 {
			t.Errorf("%d bytes of history were sent to the daemon that sent them", got)
		}
		var other *Service
		for _, id := range f.ids() {
			if id != s.Self && id != f.holderOf("p") {
				other = f.service(id)
			}
		}
		for i := range 2 { // the second time it is cached
			grant, err := other.Begin(testContext(t), Turn{ID: fmt.Sprint("on-", i), Program: "p", Previous: last, Retention: time.Minute})
			if err != nil || !bytes.Equal(grant.History, text) {
				t.Errorf("another daemon gets %q and %v, want %q", grant.History, err, text)
			}
		}
		if got := f.historySent(); got > len(text) {
			t.Errorf("%d bytes of history were sent to another daemon, want %d at most", got, len(text))
		}
	})
}

// TestCachedTextIsNoGrant: the holder decides whether a turn is still kept.
func TestCachedTextIsNoGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		last, _ := chainOf(t, s, "p", 2)
		time.Sleep(2*time.Minute + RetentionMargin)
		chainOf(t, s, "q", 1) // makes the holder sweep expired records
		time.Sleep(expireInterval)
		_, err := s.Begin(testContext(t), Turn{ID: "late", Program: "p", Previous: last, Retention: time.Minute})
		if _, remembered := s.texts.get(last); !remembered || !errors.Is(err, ErrUnknownTurn) {
			t.Errorf("cached %v: got %v, want %v", remembered, err, ErrUnknownTurn)
		}
	})
}

// TestClientOnlyDaemonCachesNoText: it may be in a region where the text must not be kept.
func TestClientOnlyDaemonCachesNoText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		chainOf(t, f.service(daemonID(1, 1)), "warm", 1) // the other daemon holds a shard
		s.ClientOnly = true
		chainOf(t, s, "warm-too", 2)
		if s.texts.bytes > 0 {
			t.Errorf("%d bytes are cached", s.texts.bytes)
		}
	})
}

func TestTextCacheIsBounded(t *testing.T) {
	var remembered textCache
	for i := range 1000 {
		kept := &KeptTurn{ID: fmt.Sprint(i), Input: bytes.Repeat([]byte("x"), 5_000)}
		if i%3 == 2 {
			kept.Previous = fmt.Sprint(i - 1)
		}
		remembered.extend(kept)
		sum := 0
		for _, text := range remembered.byTurn {
			sum += len(text)
		}
		if sum != remembered.bytes || sum > textsLimit || len(remembered.order) != len(remembered.byTurn) {
			t.Fatalf("%d: %d bytes in %d texts, counted %d in %d", i, sum, len(remembered.byTurn), remembered.bytes, len(remembered.order))
		}
	}
	if _, known := remembered.get("999"); !known {
		t.Error("the newest text is not cached")
	}
}
