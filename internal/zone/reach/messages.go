package reach

import "github.com/mintpulley/mintpulley/internal/peer"

// Question asks a daemon for an answer.
type Question struct{}

// Answer answers a Question.
type Answer struct {
	// Zone is where the daemon that answers stands.
	Zone string `json:"z"`
}

// Finding tells that the sender has just found a zone cut off.
type Finding struct {
	Zone string `json:"z"`
}

// Suspicion tells that the sender hears nothing of a zone, and asks its daemons.
type Suspicion struct {
	Zone string `json:"z"`
}

// MessageKind implements peer.Message.
func (*Question) MessageKind() peer.Kind { return "reach.question" }

// MessageKind implements peer.Message.
func (*Answer) MessageKind() peer.Kind { return "reach.answer" }

// MessageKind implements peer.Message.
func (*Finding) MessageKind() peer.Kind { return "reach.finding" }

// MessageKind implements peer.Message.
func (*Suspicion) MessageKind() peer.Kind { return "reach.suspicion" }

func init() {
	peer.Register(peer.ClassControl, &Question{})
	peer.Register(peer.ClassControl, &Answer{})
	peer.Register(peer.ClassControl, &Finding{})
	peer.Register(peer.ClassControl, &Suspicion{})
}
