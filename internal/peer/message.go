// Package peer exchanges typed messages between daemons as JSON lines. Components register the
// kinds of messages that they send. The real transport and the simulation share the encoding, so
// that they count the same bytes.
package peer

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Kind names a type of message, "component.step".
type Kind string

// Class separates control traffic, which has a byte budget, from data.
type Class int

// Classes of message.
const (
	ClassControl Class = iota
	ClassData
)

// Message is a typed body. Implementations are pointers to plain structs and must not be modified
// after they were sent.
type Message interface {
	// MessageKind returns the registered kind.
	MessageKind() Kind
}

// Handler handles messages that arrive for this daemon.
type Handler interface {
	// Receive handles one message. It may be called concurrently.
	Receive(from structs.DaemonID, message Message)
}

// Transport sends messages to other daemons. Messages may be lost or delayed. Between two daemons
// their order is kept while a connection lasts.
type Transport interface {
	// Send queues a message for a daemon; it never blocks. A daemon with structs.AnyIncarnation is
	// whichever process listens at the address.
	Send(to structs.DaemonID, message Message)
}

// Immediate is implemented by messages that are sent once per token. If such a message is sent to
// this same daemon, a transport may call the handler directly in the sender's goroutine, without
// encoding it and ahead of queued messages. Their contents must be safe to share, they must not be
// sent while holding a lock that a handler takes, and they must be valid in any order relative to
// other kinds.
type Immediate interface {
	Message
	// Immediate marks the kind.
	Immediate()
}

type registration struct {
	class Class
	new   func() Message
}

var (
	registryMutex sync.RWMutex
	registry      = map[Kind]registration{}
)

// Register registers a kind by a sample message. Components call it from init. It panics if the
// kind is already registered.
func Register(class Class, sample Message) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	kind := sample.MessageKind()
	if _, taken := registry[kind]; taken {
		panic(fmt.Sprintf("peer: kind %q registered twice", kind))
	}
	body := reflect.TypeOf(sample).Elem()
	registry[kind] = registration{
		class: class,
		new:   func() Message { return reflect.New(body).Interface().(Message) },
	}
}

// Kinds returns all registered kinds in alphabetical order.
func Kinds() []Kind {
	registryMutex.RLock()
	defer registryMutex.RUnlock()
	return slices.Sorted(maps.Keys(registry))
}

// ClassOf returns the class of a registered kind.
func ClassOf(kind Kind) Class {
	registryMutex.RLock()
	defer registryMutex.RUnlock()
	return registry[kind].class
}

// Errors of this package.
var (
	ErrUnknownKind = eris.New("peer: unknown message kind")
	ErrMalformed   = eris.New("peer: malformed message")
)
