// Package query asks shard leaders about programs: one question, one answer,
// asked again until it comes or the time is up. It is decision code: time and
// messages come from outside.
package query

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// ErrNoAnswer: no leader answered in time. Whether a program was ended is not
// known then; ask again.
var ErrNoAnswer = eris.New("query: no answer in time")

// askAgain is the pause before a question without an answer is repeated.
const retryInterval = 300 * time.Millisecond

// Router tells where shards are led, and learns from redirections.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
	Learn(shard structs.ShardNumber, route replication.Route)
}

// Client asks questions. It may be used by several goroutines.
type Client struct {
	clock     clock.Clock
	transport peer.Transport
	router    Router

	mutex   sync.Mutex
	next    dispatch.QueryID
	pending map[dispatch.QueryID]*pendingQuery
}

// question is one that has no answer yet. Fields are set before it is asked;
// timer is guarded by the client's mutex.
type pendingQuery struct {
	id       dispatch.QueryID
	deadline time.Time
	// target returns whom to ask now, "" for nobody.
	target func() structs.DaemonID
	// message is what to ask.
	message peer.Message
	// shard is where a redirection is learnt for.
	shard structs.ShardNumber
	// finish hands over the answer, or nil when the time is up.
	finish func(peer.Message)
	timer  clock.Timer
}

// New returns a client without questions.
func New(c clock.Clock, transport peer.Transport, router Router) *Client {
	return &Client{clock: c, transport: transport, router: router, pending: map[dispatch.QueryID]*pendingQuery{}}
}

// Describe asks the leader of a program's shard. done is called once: with an
// answer whose Program is nil when there is none such, or with ErrNoAnswer.
func (c *Client) Describe(request dispatch.Describe, timeout time.Duration, done func(dispatch.Described, error)) {
	c.queryShard(request.Key, timeout, func(id dispatch.QueryID) peer.Message {
		request.Query = id
		return &request
	}, func(answer peer.Message) {
		described, answered := answer.(*dispatch.Described)
		if !answered {
			done(dispatch.Described{}, ErrNoAnswer)
			return
		}
		done(*described, nil)
	})
}

// EndProgram asks the leader of a program's shard to end it. done is called
// once; asking for the end of an ended program changes nothing.
func (c *Client) EndProgram(key structs.ProgramKey, timeout time.Duration, done func(dispatch.ProgramEnded, error)) {
	c.queryShard(key, timeout, func(id dispatch.QueryID) peer.Message {
		return &dispatch.EndProgram{Query: id, Key: key}
	}, func(answer peer.Message) {
		ended, answered := answer.(*dispatch.ProgramEnded)
		if !answered {
			done(dispatch.ProgramEnded{}, ErrNoAnswer)
			return
		}
		done(*ended, nil)
	})
}

// CancelCall asks the leader of a program's shard to stop a call. done is called
// once.
func (c *Client) CancelCall(key structs.ProgramKey, request structs.RequestID, timeout time.Duration, done func(dispatch.CallCancelled, error)) {
	c.queryShard(key, timeout, func(id dispatch.QueryID) peer.Message {
		return &dispatch.CancelCall{Query: id, Key: key, RequestID: request}
	}, func(answer peer.Message) {
		cancelled, answered := answer.(*dispatch.CallCancelled)
		if !answered {
			done(dispatch.CallCancelled{}, ErrNoAnswer)
			return
		}
		done(*cancelled, nil)
	})
}

// List asks one daemon for programs of the shards it leads. An empty tenant
// asks for those of all. done is called once.
func (c *Client) List(daemon structs.DaemonID, tenant structs.TenantName, limit int, timeout time.Duration, done func(dispatch.Listed, error)) {
	query := c.register(timeout)
	query.target = func() structs.DaemonID { return daemon }
	query.message = &dispatch.List{Query: query.id, Tenant: tenant, Limit: limit}
	query.finish = func(answer peer.Message) {
		listed, answered := answer.(*dispatch.Listed)
		if !answered {
			done(dispatch.Listed{}, ErrNoAnswer)
			return
		}
		done(*listed, nil)
	}
	c.start(query)
}

func (c *Client) queryShard(key structs.ProgramKey, timeout time.Duration, message func(dispatch.QueryID) peer.Message, finish func(peer.Message)) {
	query := c.register(timeout)
	query.shard = c.router.Shard(key)
	query.target = func() structs.DaemonID { return c.router.Route(query.shard).Leader }
	query.message = message(query.id)
	query.finish = finish
	c.start(query)
}

func (c *Client) register(timeout time.Duration) *pendingQuery {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	return &pendingQuery{id: c.next, deadline: c.clock.Now().Add(timeout)}
}

// ask sends a question and asks again later. It gives up at the deadline.
func (c *Client) start(query *pendingQuery) {
	c.mutex.Lock()
	c.pending[query.id] = query
	c.mutex.Unlock()
	c.attempt(query)
}

func (c *Client) attempt(query *pendingQuery) {
	switch c.nextStep(query) {
	case stepSend:
		if target := query.target(); target != "" {
			c.transport.Send(target, query.message)
		}
	case stepTimeOut:
		query.finish(nil)
	case stepAnswered:
	}
}

// turn is what to do with a question whose time to be asked has come.
type step int

const (
	stepSend step = iota
	stepTimeOut
	stepAnswered
)

// prepare decides under the lock, so that an answer which arrives meanwhile
// and the deadline cannot both finish the question.
func (c *Client) nextStep(query *pendingQuery) step {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending[query.id] != query {
		return stepAnswered
	}
	remaining := query.deadline.Sub(c.clock.Now())
	if remaining <= 0 {
		delete(c.pending, query.id)
		return stepTimeOut
	}
	query.timer = c.clock.AfterFunc(min(retryInterval, remaining), func() { c.attempt(query) })
	return stepSend
}

// take removes a question from those without an answer, nil if it is gone.
func (c *Client) remove(id dispatch.QueryID) *pendingQuery {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	query := c.pending[id]
	if query == nil {
		return nil
	}
	delete(c.pending, id)
	if query.timer != nil {
		query.timer.Stop()
	}
	return query
}

// Receive handles answers. It returns false for other messages.
func (c *Client) Receive(_ structs.DaemonID, message peer.Message) bool {
	switch m := message.(type) {
	case *dispatch.Described:
		c.answered(m.Query, m.Redirect, m)
	case *dispatch.ProgramEnded:
		c.answered(m.Query, m.Redirect, m)
	case *dispatch.CallCancelled:
		c.answered(m.Query, m.Redirect, m)
	case *dispatch.Listed:
		c.answered(m.Query, nil, m)
	default:
		return false
	}
	return true
}

// answered finishes a question, or learns where to ask it next time.
func (c *Client) answered(id dispatch.QueryID, redirect *replication.Route, message peer.Message) {
	if redirect != nil {
		c.redirected(id, *redirect)
		return
	}
	if query := c.remove(id); query != nil {
		query.finish(message)
	}
}

// redirected asks the daemon that leads the shard, if that is news; otherwise
// the question waits for its next turn.
func (c *Client) redirected(id dispatch.QueryID, route replication.Route) {
	c.mutex.Lock()
	query := c.pending[id]
	c.mutex.Unlock()
	if query == nil {
		return
	}
	before := c.router.Route(query.shard)
	c.router.Learn(query.shard, route)
	after := c.router.Route(query.shard)
	if after.Leader != "" && after.Leader != before.Leader {
		c.transport.Send(after.Leader, query.message)
	}
}
