package metrics

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Traffic counts the messages and bytes that a daemon sends to other daemons. The
// zero value is ready to use.
type Traffic struct {
	controlBytes, dataBytes       atomic.Int64
	controlMessages, dataMessages atomic.Int64
}

// Count adds one sent message. Its signature is that of the transport's callback.
func (t *Traffic) Count(_ structs.DaemonID, kind peer.Kind, bytes int) {
	class := peer.ClassOf(kind)
	if class == peer.ClassControl {
		t.controlBytes.Add(int64(bytes))
		t.controlMessages.Add(1)
		return
	}
	t.dataBytes.Add(int64(bytes))
	t.dataMessages.Add(1)
}

// RegisterNode registers metrics that are read from the node at each scrape.
func RegisterNode(registry prometheus.Registerer, n *node.Node, traffic *Traffic) {
	gauge := func(subsystem, name, help string, read func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: name, Help: help,
		}, read))
	}
	gauge("submit", "pending", "Calls of this daemon's callers without an outcome.", func() float64 {
		return float64(n.Submitter.Pending())
	})
	gauge("configuration", "revision", "Revision of the configuration in force, 0 for none.", func() float64 {
		if current := n.Configurations.Current(); current != nil {
			return float64(current.Revision)
		}
		return 0
	})
	gauge("replication", "replicas", "Groups of shards that this daemon is a member of.", func() float64 {
		return float64(n.Replication.Summary().Replicas)
	})
	gauge("replication", "leads", "Shards that this daemon leads.", func() float64 {
		return float64(n.Replication.Summary().Leads)
	})
	gauge("replication", "without_majority", "Groups of this daemon that have lost their majority.", func() float64 {
		return float64(n.Replication.Summary().WithoutMajority)
	})
	gauge("replication", "contradictions", "Committed entries that were contradicted; each is a fault of this program.", func() float64 {
		return float64(n.Replication.Summary().Contradictions)
	})
	gauge("programs", "bytes", "Memory that programs take here, led and followed, unpacked copies left out.", func() float64 {
		return float64(n.Coordinator.Memory.ProgramBytes())
	})
	gauge("programs", "unpacked_bytes", "Memory that unpacked copies of histories take.", func() float64 {
		return float64(n.Coordinator.Memory.UnpackedBytes())
	})
	gauge("programs", "pressure", "0: memory is free; 1: new programs are refused; 2: calls are refused.", func() float64 {
		return float64(n.Coordinator.Pressure())
	})
	counter := func(name, class, help string, value *atomic.Int64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "peer", Name: name, Help: help,
			ConstLabels: prometheus.Labels{"class": class},
		}, func() float64 { return float64(value.Load()) }))
	}
	const bytesHelp, messagesHelp = "Bytes sent to other daemons.", "Messages sent to other daemons."
	counter("sent_bytes_total", "control", bytesHelp, &traffic.controlBytes)
	counter("sent_bytes_total", "data", bytesHelp, &traffic.dataBytes)
	counter("sent_messages_total", "control", messagesHelp, &traffic.controlMessages)
	counter("sent_messages_total", "data", messagesHelp, &traffic.dataMessages)
}
