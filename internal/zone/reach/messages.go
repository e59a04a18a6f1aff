package reach

import "github.com/mintpulley/mintpulley/internal/peer"

// Probe asks a daemon for a ProbeReply.
type Probe struct{}

// ProbeReply answers a Probe.
type ProbeReply struct {
	// Zone is the zone of the daemon that replies.
	Zone string `json:"z"`
}

// CutOffReport reports that the sender has just found a zone cut off.
type CutOffReport struct {
	Zone string `json:"z"`
}

// Suspicion reports that the sender gets no replies from a zone that it probes.
type Suspicion struct {
	Zone string `json:"z"`
}

// MessageKind implements peer.Message.
func (*Probe) MessageKind() peer.Kind { return "reach.question" }

// MessageKind implements peer.Message.
func (*ProbeReply) MessageKind() peer.Kind { return "reach.answer" }

// MessageKind implements peer.Message.
func (*CutOffReport) MessageKind() peer.Kind { return "reach.finding" }

// MessageKind implements peer.Message.
func (*Suspicion) MessageKind() peer.Kind { return "reach.suspicion" }

func init() {
	peer.Register(peer.ClassControl, &Probe{})
	peer.Register(peer.ClassControl, &ProbeReply{})
	peer.Register(peer.ClassControl, &CutOffReport{})
	peer.Register(peer.ClassControl, &Suspicion{})
}
