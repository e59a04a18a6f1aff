package main

import (
	"strings"
	"sync"
	"time"
)

// The play "large" is no case, as it needs no disruption: programs bring a first turn that is larger
// than a record of the store, within the limits of the configuration.

const (
	// largePrograms bring largeBytes each.
	largePrograms = 6
	largeBytes    = 300_000
)

func playLarge(b *bed, trouble bool) (broken bool, err error) {
	c := &backlog{bed: b}
	if err := b.addEngines(engineKind{service: "huvo11a", slots: 12, queue: 36}, 11); err != nil {
		return false, err
	}
	b.configure(turnConfiguration)
	if err := b.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	_, watched, err := c.firstTurnsOfAll()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.sendLargeTurns()
	}
	time.Sleep(contact)
	b.journal.resetBusiest()
	return c.judge(c.watch(watched)), nil
}

func (c *backlog) sendLargeTurns() {
	var group sync.WaitGroup
	for i := range largePrograms {
		group.Go(func() {
			turn := newAgent(8 * turnTokens).turn(1000)
			turn.body = strings.Repeat("L", largeBytes)
			got := do(c.daemons[i%len(c.daemons)], turn)
			c.recorder.note("large turn %s of %d bytes: %s, runs %d", turn.id, largeBytes, got.describe(), len(c.journal.runsOf(turn.id)))
		})
	}
	group.Wait()
}
