// Package network is a network on a virtual clock: seeded delays and losses,
// cuts between machines and zones, and processes that can be killed, paused
// and restarted.
package network

import (
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Place is where a machine stands.
type Place struct {
	// Address is "IP:PORT" of a daemon, or the name of a service.
	Address string
	Zone    structs.ZoneName
	Region  structs.RegionName
}

// DelayFunc returns the one-way delay between two places without jitter.
type DelayFunc func(from, to Place) time.Duration

// Settings describe a network.
type Settings struct {
	// Delay is the one-way delay; nil means DefaultDelay.
	Delay DelayFunc
	// Jitter is the most that is added to a delay.
	Jitter time.Duration
	// BreakChance is the chance that a message finds its connection broken. The
	// message is lost, and what follows takes a new connection, on which it may
	// overtake what is still under way on the old one.
	BreakChance float64
	// DuplicateChance is the chance that a message between daemons that met a
	// broken connection was delivered all the same, and is sent again.
	DuplicateChance float64
	// StallChance is the chance that a connection stands still for up to
	// StallMaximum, as one that sends lost packets again.
	StallChance  float64
	StallMaximum time.Duration
}

// DefaultSettings returns a network with a little jitter and no faults.
func DefaultSettings() Settings {
	return Settings{Delay: DefaultDelay, Jitter: 300 * time.Microsecond}
}

// Delays of the brief's smaller deployments.
const (
	delayWithinZone    = 200 * time.Microsecond
	delayBetweenZones  = 1500 * time.Microsecond
	delayBetweenRegion = 20 * time.Millisecond
)

// DefaultDelay knows three distances: same zone, other zone, other region.
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

// SendFunc is told of each message between daemons that left one.
type SendFunc func(from, to structs.DaemonID, class peer.Class, kind peer.Kind, bytes int)

// Network carries messages between places. It is used from the virtual
// clock's event loop only.
type Network struct {
	Settings Settings
	// OnSend is told of each message between daemons; nil counts nothing.
	OnSend SendFunc
	// OnReceive is told of each message that arrived at a daemon; nil tells nobody.
	OnReceive func(from, to structs.DaemonID, kind peer.Kind, bytes int)

	clock       *clock.Virtual
	random      *rand.Rand
	cuts        map[cut]bool
	connections map[connectionKey]*connection
	endpoints   map[string]*Endpoint
}

// cut is a one-way block; an empty name stands for every place.
type cut struct{ from, to string }

type connectionKey struct{ from, to string }

// connection keeps the order of what it carries.
type connection struct {
	latest time.Time
}

// New returns a network without any machine.
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

// Cut blocks the way from one name to another, one way only. A name is an
// address or a zone; "" stands for every place but the other name itself.
func (n *Network) Cut(from, to string) { n.cuts[cut{from, to}] = true }

// Heal opens a way that Cut blocked.
func (n *Network) Heal(from, to string) { delete(n.cuts, cut{from, to}) }

// HealAll opens all ways.
func (n *Network) HealAll() { clear(n.cuts) }

// Reachable tells whether messages get from one place to another now.
func (n *Network) Reachable(from, to Place) bool {
	if len(n.cuts) == 0 || from.Address == to.Address {
		return true
	}
	for _, source := range [...]string{from.Address, string(from.Zone), ""} {
		for _, target := range [...]string{to.Address, string(to.Zone), ""} {
			if n.cuts[cut{source, target}] && !exempt(source, target, from, to) {
				return false
			}
		}
	}
	return true
}

// exempt keeps a zone that is cut off from everything else whole inside.
func exempt(source, target string, from, to Place) bool {
	if source != "" && target != "" {
		return false
	}
	named := source + target
	return named == string(from.Zone) && from.Zone == to.Zone
}

// Deliver runs arrive when a message from one place has reached another. It
// never runs if the way is cut when the message leaves or when it would
// arrive, or if its connection broke.
func (n *Network) Deliver(from, to Place, arrive func()) { n.deliver(from, to, 0, arrive) }

// deliver carries a message. After a break it may be sent again over the next
// connection although the former delivered it; twice is the chance of that.
func (n *Network) deliver(from, to Place, twice float64, arrive func()) {
	if !n.Reachable(from, to) {
		return
	}
	key := connectionKey{from.Address, to.Address}
	line := n.connections[key]
	if line == nil {
		line = &connection{}
		n.connections[key] = line
	}
	lost := from.Address != to.Address && n.chance(n.Settings.BreakChance)
	if lost {
		delete(n.connections, key)
		if !n.chance(twice) {
			return
		}
		n.schedule(line, from, to, arrive)
		line = &connection{}
		n.connections[key] = line
	}
	n.schedule(line, from, to, arrive)
}

func (n *Network) schedule(line *connection, from, to Place, arrive func()) {
	at := n.clock.Now().Add(n.delay(from, to))
	if at.Before(line.latest) {
		at = line.latest
	}
	line.latest = at
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
