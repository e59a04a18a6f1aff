package workload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Operators publish changes, and note which of them must come into force.
type Operators struct {
	cluster  *cluster.Cluster
	checker  *checker.Checker
	random   *rand.Rand
	revision structs.Revision
	known    map[string]bool
	changes  int
}

// NewOperators returns operators that watch the log.
func NewOperators(c *cluster.Cluster, watcher *checker.Checker) *Operators {
	o := &Operators{cluster: c, checker: watcher, random: c.Random("operators"), known: map[string]bool{}}
	c.Log.OnAppend = o.appended
	return o
}

// appended works out, without the daemons' fold, whether an entry is accepted:
// it builds on the revision before it and is no copy.
func (o *Operators) appended(stream framework.StreamName, entry framework.LogEntry) {
	if stream != framework.StreamConfiguration {
		return
	}
	var payload struct {
		Change *structs.Change `json:"change"`
	}
	if err := json.Unmarshal(entry.Payload, &payload); err != nil || payload.Change == nil {
		return
	}
	change := payload.Change
	if o.known[change.OperationID] || change.Base != o.revision {
		return
	}
	o.known[change.OperationID] = true
	o.revision++
	o.checker.RecordRevision(o.revision)
}

// PublishInitial puts the first configuration into the log before anything runs.
func (o *Operators) PublishInitial(first structs.Configuration) {
	change := structs.Change{
		OperationID: "first",
		Operator:    "setup",
		Patch: structs.Patch{
			Models:    structs.Edit[structs.ModelName, structs.Model]{Set: first.Models},
			Templates: structs.Edit[structs.TemplateName, structs.Template]{Set: first.Templates},
			Tenants:   structs.Edit[structs.TenantName, structs.Tenant]{Set: first.Tenants},
			Fleet:     &first.Fleet,
		},
	}
	o.cluster.Log.Append(framework.StreamConfiguration, change.OperationID, encode(change))
}

func encode(change structs.Change) []byte {
	payload, err := configuration.EncodeEntry(configuration.Entry{Change: &change})
	if err != nil {
		panic(fmt.Sprintf("workload: %v", err))
	}
	return payload
}

// Race has several operators publish changes at once, each building on the
// revision it read at some daemon, from the zones given. An answer that is
// lost makes an operator append its change again.
func (o *Operators) Race(zones ...structs.ZoneName) {
	for _, zone := range zones {
		o.changes++
		fleet := &structs.FleetPolicy{CacheWeight: float64(o.random.IntN(100)) / 100}
		o.publish(zone, fmt.Sprintf("change-%d", o.changes), structs.Patch{Fleet: fleet})
	}
}

// Publish has an operator of a zone publish one change.
func (o *Operators) Publish(zone structs.ZoneName, patch structs.Patch) {
	o.changes++
	o.publish(zone, fmt.Sprintf("change-%d", o.changes), patch)
}

func (o *Operators) publish(zone structs.ZoneName, operation string, patch structs.Patch) {
	address := "operator-" + string(zone)
	client := network.Client{
		Network: o.cluster.Network,
		Process: network.NewProcess(o.cluster.Clock, 0),
		Place:   network.Place{Address: address, Zone: zone, Region: "r1"},
	}
	base := o.readRevision(zone)
	change := structs.Change{
		OperationID: operation,
		Operator:    address,
		Base:        base,
		Patch:       patch,
	}
	o.append(client, change, publishTries)
}

// publishTries bounds how often an operator appends one change.
const publishTries = 3

func (o *Operators) append(client network.Client, change structs.Change, tries int) {
	payload := encode(change)
	o.cluster.Log.Client(client).Append(framework.StreamConfiguration, change.OperationID, payload, func(_ structs.LogOffset, err error) {
		if err != nil && tries > 1 {
			o.cluster.After(time.Second, func() { o.append(client, change, tries-1) })
		}
	})
}

// readRevision returns what an operator reads at a daemon of the zone.
func (o *Operators) readRevision(zone structs.ZoneName) structs.Revision {
	for _, daemon := range o.cluster.Daemons {
		if daemon.Zone == zone && daemon.Running() {
			if current := daemon.Node.Configurations.Current(); current != nil {
				return current.Revision
			}
		}
	}
	return o.revision
}
