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

// Operators publish configuration changes, and record which of them are
// accepted.
type Operators struct {
	cluster  *cluster.Cluster
	checker  *checker.Checker
	random   *rand.Rand
	revision structs.Revision
	accepted map[string]bool
	changes  int
}

// NewOperators returns operators that observe the log.
func NewOperators(c *cluster.Cluster, watcher *checker.Checker) *Operators {
	o := &Operators{cluster: c, checker: watcher, random: c.Random("operators"), accepted: map[string]bool{}}
	c.Log.OnAppend = o.recordAppend
	return o
}

// recordAppend decides, independently of the daemons' code, whether an entry is
// accepted: its change must be based on the current revision and be no
// duplicate.
func (o *Operators) recordAppend(stream framework.StreamName, entry framework.LogEntry) {
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
	if o.accepted[change.OperationID] || change.Base != o.revision {
		return
	}
	o.accepted[change.OperationID] = true
	o.revision++
	o.checker.RecordRevision(o.revision)
}

// PublishInitial appends the initial configuration to the log before any daemon
// starts.
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

// Race has an operator in each of the zones publish a change at the same time,
// based on the revision that a daemon of the zone reports. An operator whose
// answer is lost appends its change again.
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
	o.append(client, change, maxPublishAttempts)
}

// maxPublishAttempts limits how often an operator appends one change.
const maxPublishAttempts = 3

func (o *Operators) append(client network.Client, change structs.Change, attempts int) {
	payload := encode(change)
	o.cluster.Log.Client(client).Append(framework.StreamConfiguration, change.OperationID, payload, func(_ structs.LogOffset, err error) {
		if err != nil && attempts > 1 {
			o.cluster.After(time.Second, func() { o.append(client, change, attempts-1) })
		}
	})
}

// readRevision returns the revision that a daemon of the zone reports, or the
// latest one if no daemon of the zone has a configuration.
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
