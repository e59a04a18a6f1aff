package httpconn

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// A process may restart at its address under its name, and what was last known of it does not
// show that yet. A connection belongs to one process for as long as it is open, so that process is
// asked once on each connection.

// Peer is a process that must be at the other end of a connection.
type Peer struct {
	// Identity is what the process answers to Question.
	Identity string
	// Question asks a process for its identity.
	Question *http.Request
	// Read reads the identity from a response; "" if it does not tell.
	Read func(response *http.Response) string
}

// unknownPeer is the identity of a process that does not tell one.
const unknownPeer = "unknown"

// identify makes sure that the required process is at the other end of a connection, if it tells
// who it is. The error otherwise wraps ErrOtherPeer or ErrResetUnused.
func (p *Pool) identify(ctx context.Context, c *conn, bounds Bounds) error {
	peer := bounds.Peer
	if peer == nil {
		return nil
	}
	if c.peer == "" {
		if err := p.ask(ctx, c, bounds); err != nil {
			return eris.Wrapf(ErrResetUnused, "ask who is there: %v", err)
		}
	}
	if c.peer != peer.Identity && c.peer != unknownPeer {
		return eris.Wrapf(ErrOtherPeer, "it is %q", c.peer)
	}
	return nil
}

// errClosing: the process closes the connection after its answer.
var errClosing = eris.New("httpconn: the connection is being closed")

// ask asks the process at the other end for its identity, for at most the timeout of dialling.
func (p *Pool) ask(ctx context.Context, c *conn, bounds Bounds) error {
	peer := bounds.Peer
	stop := context.AfterFunc(ctx, func() { c.closeWithCause(context.Cause(ctx)) })
	defer stop()
	if err := c.SetDeadline(time.Now().Add(p.dialTimeout)); err != nil {
		return err
	}
	if err := peer.Question.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	response, err := c.readAnswer(peer.Question, bounds.Labels.ofQuestion(), p.countDuplicate)
	if err != nil {
		p.countBadHead(err)
		return err
	}
	identity := peer.Read(response)
	if err := response.Body.Close(); err != nil { // reads the rest
		return err
	}
	if response.Close {
		return errClosing
	}
	if c.peer = identity; c.peer == "" {
		c.peer = unknownPeer
	}
	return c.SetDeadline(time.Time{})
}
