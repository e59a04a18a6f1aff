// Package query sends queries about programs to shard leaders and repeats each until
// it is answered or times out. Clock and transport are injected.
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

// ErrNoAnswer: no leader answered in time. For EndProgram and CancelCall the effect is
// unknown then; the caller may repeat them.
var ErrNoAnswer = eris.New("query: no answer in time")

// retryInterval is the pause before an unanswered query is repeated.
const retryInterval = 300 * time.Millisecond

// Router returns the leaders of shards, and is updated from redirections.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
	Learn(shard structs.ShardNumber, route replication.Route)
}

// Client sends queries. It is safe for concurrent use.
type Client struct {
	clock     clock.Clock
	transport peer.Transport
	router    Router

	mutex   sync.Mutex
	next    dispatch.QueryID
	pending map[dispatch.QueryID]*pendingQuery
}

// pendingQuery is a query without an answer. Its fields are set before it is first
// sent; timer is guarded by the client's mutex.
type pendingQuery struct {
	id       dispatch.QueryID
	deadline time.Time
	// target returns the daemon to send the query to now, "" for none.
	target  func() structs.DaemonID
	message peer.Message
	// shard is the shard whose leader redirections update.
	shard structs.ShardNumber
	// finish is called once with the answer, or with nil after the deadline.
	finish func(peer.Message)
	timer  clock.Timer
}

// New returns a client without pending queries.
func New(c clock.Clock, transport peer.Transport, router Router) *Client {
	return &Client{clock: c, transport: transport, router: router, pending: map[dispatch.QueryID]*pendingQuery{}}
}

// Describe asks the leader of a program's shard for its description. done is called
// once: with an answer, whose Program is nil if the program does not exist, or with
// ErrNoAnswer.
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

// EndProgram asks the leader of a program's shard to end the program. done is called
// once. Ending an ended program changes nothing.
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

// CancelCall asks the leader of a program's shard to cancel a call. done is called
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

// List asks one daemon for programs of the shards it leads, of all tenants if tenant
// is empty. done is called once.
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

// start sends a query and schedules its repetition until the deadline.
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

// step is what to do with a query when its timer fires.
type step int

const (
	stepSend step = iota
	stepTimeOut
	stepAnswered
)

// nextStep decides under the lock, so that an answer and the deadline cannot both
// finish the query.
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

// remove removes and returns a pending query, nil if it was already finished.
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

// Receive handles an answer to a query, and reports whether the message is one.
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

// answered finishes a query, or follows a redirection.
func (c *Client) answered(id dispatch.QueryID, redirect *replication.Route, message peer.Message) {
	if redirect != nil {
		c.redirected(id, *redirect)
		return
	}
	if query := c.remove(id); query != nil {
		query.finish(message)
	}
}

// redirected sends the query to the shard's new leader. If the route did not change,
// the query waits for its next repetition.
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
