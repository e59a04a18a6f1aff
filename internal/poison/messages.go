package poison

import "github.com/mintpulley/mintpulley/internal/peer"

func init() { peer.Register(peer.ClassControl, &Notice{}) }

// Notice tells other daemons of back ends that ended under contents, or answered suspected ones, while
// the store does not take that.
type Notice struct {
	// Sends are sends that are not reserved any more, by key.
	Sends map[string]Send `json:"sends"`
	// Keep asks the receiver to store them, too, in case the sender ends first.
	Keep bool `json:"keep,omitempty"`
}

// MessageKind implements peer.Message.
func (*Notice) MessageKind() peer.Kind { return "poison.notice" }
