// Package network simulates a network on a virtual clock: seeded delays and
// losses, partitions between machines and zones, and processes that can be
// killed and paused.
package network

import (
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Place is the address and location of a machine or service.
type Place struct {
	// Address is "IP:PORT" of a daemon, or the name of a service.
	Address string
	Zone    structs.ZoneName
	Region  structs.RegionName
}

// DelayFunc returns the one-way delay between two places, without jitter.
type DelayFunc func(from, to Place) time.Duration

// Settings describe the delays and faults of a network.
type Settings struct {
	// Delay is the one-way delay; nil means DefaultDelay.
	Delay DelayFunc
	// Jitter is the maximum that is added to a delay.
	Jitter time.Duration
	// BreakChance is the probability that a message finds its connection
	// broken. The message is lost, and later messages use a new connection, on
	// which they may overtake those still in flight on the old one.
	BreakChance float64
	// DuplicateChance is the probability that a message between daemons that
	// met a broken connection was delivered nevertheless, and is sent again.
	DuplicateChance float64
	// StallChance is the probability that a connection stalls for up to
	// StallMaximum, as if it retransmitted lost packets.
	StallChance  float64
	StallMaximum time.Duration
}

// DefaultSettings returns a network with a little jitter and no faults.
func DefaultSettings() Settings {
	return Settings{Delay: DefaultDelay, Jitter: 300 * time.Microsecond}
}

// One-way delays of DefaultDelay.
const (
	delayWithinZone    = 200 * time.Microsecond
	delayBetweenZones  = 1500 * time.Microsecond
	delayBetweenRegion = 20 * time.Millisecond
)

// DefaultDelay distinguishes three distances: same zone, other zone, other
// region.
func DefaultDelay(from, to Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return delayBetweenRegion
	case from.Zone != to.Zone:
		return delayBetweenZones
	default:
		return delayWithinZone
	}
}

// SendFunc is called for each message that a daemon sends to another daemon.
type SendFunc func(from, to structs.DaemonID, class peer.Class, kind peer.Kind, bytes int)

// Network carries messages between places. It is used from the virtual
// clock's event loop only.
type Network struct {
	Settings Settings
	// OnSend is called for each message between daemons when it is sent; nil is
	// allowed.
	OnSend SendFunc
	// OnReceive is called for each message when it arrives at a daemon; nil is
	// allowed.
	OnReceive func(from, to structs.DaemonID, kind peer.Kind, bytes int)

	clock       *clock.Virtual
	random      *rand.Rand
	cuts        map[cut]bool
	connections map[connectionKey]*connection
	endpoints   map[string]*Endpoint
}

// cut is a blocked direction; an empty name stands for every place.
type cut struct{ from, to string }

type connectionKey struct{ from, to string }

// connection keeps its messages in order: none arrives before latest.
type connection struct {
	latest time.Time
}

// New returns a network without endpoints.
func New(c *clock.Virtual, random *rand.Rand, settings Settings) *Network {
	if settings.Delay == nil {
		settings.Delay = DefaultDelay
	}
	return &Network{
		Settings:    settings,
		clock:       c,
		random:      random,
		cuts:        map[cut]bool{},
		connections: map[connectionKey]*connection{},
		endpoints:   map[string]*Endpoint{},
	}
}

// Clock returns the virtual clock.
func (n *Network) Clock() *clock.Virtual { return n.clock }

// Cut blocks messages in one direction. A name is an address or a zone; ""
// stands for every place outside the other name.
func (n *Network) Cut(from, to string) { n.cuts[cut{from, to}] = true }

// Heal removes a block set by Cut.
func (n *Network) Heal(from, to string) { delete(n.cuts, cut{from, to}) }

// HealAll removes all blocks.
func (n *Network) HealAll() { clear(n.cuts) }

// Reachable reports whether messages from one place currently reach another.
func (n *Network) Reachable(from, to Place) bool {
	if len(n.cuts) == 0 || from.Address == to.Address {
		return true
	}
	for _, source := range [...]string{from.Address, string(from.Zone), ""} {
		for _, target := range [...]string{to.Address, string(to.Zone), ""} {
			if n.cuts[cut{source, target}] && !withinIsolatedZone(source, target, from, to) {
				return false
			}
		}
	}
	return true
}

// withinIsolatedZone reports whether both places are in the zone that a cut
// isolates from all others: traffic inside that zone is not blocked.
func withinIsolatedZone(source, target string, from, to Place) bool {
	if source != "" && target != "" {
		return false
	}
	named := source + target
	return named == string(from.Zone) && from.Zone == to.Zone
}

// Deliver calls arrive when a message sent now reaches its destination. It is
// never called if the direction is cut when the message is sent or when it
// would arrive, or if the connection breaks.
func (n *Network) Deliver(from, to Place, arrive func()) { n.deliver(from, to, 0, arrive) }

// deliver carries a message. After a break, with probability duplicateChance,
// the message is delivered on the old connection and sent again on the next
// one.
func (n *Network) deliver(from, to Place, duplicateChance float64, arrive func()) {
	if !n.Reachable(from, to) {
		return
	}
	connKey := connectionKey{from.Address, to.Address}
	conn := n.connections[connKey]
	if conn == nil {
		conn = &connection{}
		n.connections[connKey] = conn
	}
	lost := from.Address != to.Address && n.chance(n.Settings.BreakChance)
	if lost {
		delete(n.connections, connKey)
		if !n.chance(duplicateChance) {
			return
		}
		n.schedule(conn, from, to, arrive)
		conn = &connection{}
		n.connections[connKey] = conn
	}
	n.schedule(conn, from, to, arrive)
}

func (n *Network) schedule(conn *connection, from, to Place, arrive func()) {
	at := n.clock.Now().Add(n.delay(from, to))
	if at.Before(conn.latest) {
		at = conn.latest
	}
	conn.latest = at
	n.clock.AfterFunc(at.Sub(n.clock.Now()), func() {
		if n.Reachable(from, to) {
			arrive()
		}
	})
}

func (n *Network) delay(from, to Place) time.Duration {
	if from.Address == to.Address {
		return 0
	}
	delay := n.Settings.Delay(from, to)
	if n.Settings.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(n.Settings.Jitter)))
	}
	if n.Settings.StallMaximum > 0 && n.chance(n.Settings.StallChance) {
		delay += time.Duration(n.random.Int64N(int64(n.Settings.StallMaximum)))
	}
	return delay
}

func (n *Network) chance(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}
