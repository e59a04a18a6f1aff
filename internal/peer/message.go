// Package peer carries typed messages between daemons as JSON lines. Parts
// register the kinds they send; the real transport and the simulation
// share the same encoding, so that bytes are counted alike.
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

// Kind names a type of message, "part.step".
type Kind string

// Class separates control traffic, which has a byte budget, from data.
type Class int

// Classes of message.
const (
	ClassControl Class = iota
	ClassData
)

// Message is a typed body. Implementations are pointers to plain structs and
// must not be changed after they were sent.
type Message interface {
	// MessageKind returns the registered kind.
	MessageKind() Kind
}

// Handler takes messages that arrived for this daemon.
type Handler interface {
	// Receive handles one message. It may be called by several goroutines.
	Receive(from structs.DaemonID, message Message)
}

// Transport sends messages to other daemons. Messages may be lost, and
// delivered late; between two daemons they keep their order while a
// connection lasts.
type Transport interface {
	// Send queues message for the daemon; it never blocks. A daemon with
	// structs.AnyIncarnation is whichever run listens at the address.
	Send(to structs.DaemonID, message Message)
}

// Immediate is implemented by messages that a transport may hand to this same
// daemon's handler in the sender's goroutine, without the codec and ahead of
// messages that wait: those sent once per token. Their parts must be safe to
// share, they must not be sent under a lock that a handler takes, and what they
// say must hold in whatever order they come with other kinds.
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

// Register makes a kind known. Parts call it from init with a sample message.
// It panics when the kind is taken.
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

// Kinds returns every registered kind, ordered by name.
func Kinds() []Kind {
	registryMutex.RLock()
	defer registryMutex.RUnlock()
	return slices.Sorted(maps.Keys(registry))
}

// ClassOf returns the class a kind was registered with.
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
