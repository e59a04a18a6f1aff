package drivers

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// invokeTimeout limits one application request.
const invokeTimeout = 5 * time.Second

// statusDone is the status code of an application's answer.
const statusDone = 200

// Application simulates one application back end or tool service. It runs every
// request as often as it arrives, but refuses attempts that were inspected
// under a higher epoch.
type Application struct {
	Place network.Place
	// Name is the name of the target that it serves.
	Name string
	// ServiceTime is the duration of a request.
	ServiceTime time.Duration
	// AnswerLossChance is the probability that a request takes effect and its
	// answer is lost.
	AnswerLossChance float64
	// Hanging makes it accept requests without effect or answer.
	Hanging bool
	// Draining makes it refuse new requests because it is leaving.
	Draining bool
	// Down makes it refuse connections.
	Down bool
	// OnRequest is called for each request that arrives, OnEffect for each one
	// that takes effect; nil is allowed.
	OnRequest func(request framework.ApplicationRequest, accepted bool, from network.Place)
	OnEffect  func(request framework.ApplicationRequest)

	network *network.Network
	random  *rand.Rand
	records map[structs.AttemptID]*applicationRecord
}

type applicationRecord struct {
	fence  structs.Epoch
	runs   int
	answer []byte
}

// NewApplication returns a back end that has run no requests.
func NewApplication(n *network.Network, place network.Place, name string, serviceTime time.Duration, random *rand.Rand) *Application {
	return &Application{
		Place:       place,
		Name:        name,
		ServiceTime: serviceTime,
		network:     n,
		random:      random,
		records:     map[structs.AttemptID]*applicationRecord{},
	}
}

// ID returns the back end's identifier.
func (a *Application) ID() structs.EngineID { return structs.EngineID(a.Place.Address) }

func (a *Application) record(attempt structs.AttemptID) *applicationRecord {
	record := a.records[attempt]
	if record == nil {
		record = &applicationRecord{}
		a.records[attempt] = record
	}
	return record
}

// refusal returns the refusal of a request and true, or false if the request is
// accepted.
func (a *Application) refusal(request framework.ApplicationRequest) (framework.AttemptEnd, bool) {
	switch {
	case a.Down:
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"}, true
	case a.Draining:
		return framework.AttemptEnd{Kind: framework.EndRejected, Draining: true, Message: "draining"}, true
	case request.Epoch < a.record(request.Attempt).fence:
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: "fenced"}, true
	default:
		return framework.AttemptEnd{}, false
	}
}

func (a *Application) invoke(request framework.ApplicationRequest, from network.Place, reply func(framework.AttemptEnd, error)) {
	end, refused := a.refusal(request)
	if a.OnRequest != nil {
		a.OnRequest(request, !refused, from)
	}
	if refused {
		reply(end, nil)
		return
	}
	if a.Hanging {
		return
	}
	record := a.record(request.Attempt)
	record.runs++
	record.answer = []byte(ApplicationAnswer(request.Attempt))
	if a.OnEffect != nil {
		a.OnEffect(request)
	}
	lost := a.AnswerLossChance > 0 && a.random.Float64() < a.AnswerLossChance
	a.network.Clock().AfterFunc(a.ServiceTime, func() {
		if !lost && !a.Down {
			reply(framework.AttemptEnd{Kind: framework.EndCompleted, Body: record.answer, BodyStatus: statusDone}, nil)
		}
	})
}

func (a *Application) inspect(attempt structs.AttemptID, epoch structs.Epoch) (framework.AttemptStatus, error) {
	if a.Down {
		return framework.AttemptStatus{}, framework.ErrNotSent
	}
	record := a.record(attempt)
	record.fence = max(record.fence, epoch)
	status := framework.AttemptStatus{State: framework.AttemptAbsent, Fenced: true}
	if record.runs > 0 {
		status.State = framework.AttemptDone
		status.Body = record.answer
		status.BodyStatus = statusDone
	}
	return status, nil
}

// ApplicationAnswer returns an application's answer to an attempt.
func ApplicationAnswer(attempt structs.AttemptID) string { return fmt.Sprintf("done %s", attempt) }

// Applications holds the application back ends of a fleet.
type Applications struct {
	// BeforeSend is called in the calling process just before a request is
	// sent, BeforeAnswer just before its result is handed over; nil is allowed.
	BeforeSend   func(from network.Place, request framework.ApplicationRequest)
	BeforeAnswer func(from network.Place, request framework.ApplicationRequest)

	members map[structs.EngineID]*Application
}

// Add adds a back end.
func (a *Applications) Add(application *Application) {
	if a.members == nil {
		a.members = map[structs.EngineID]*Application{}
	}
	a.members[application.ID()] = application
}

// Client returns a driver that calls the back ends from one process.
func (a *Applications) Client(c network.Client) framework.ApplicationDriver {
	return &applicationClient{applications: a, client: c}
}

type applicationClient struct {
	applications *Applications
	client       network.Client
}

// Invoke implements framework.ApplicationDriver.
func (c *applicationClient) Invoke(request framework.ApplicationRequest, done func(framework.AttemptEnd)) {
	application := c.applications.members[request.BackEnd]
	if application == nil {
		c.client.Process.AfterFunc(0, func() {
			done(framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"})
		})
		return
	}
	request.Body = append([]byte{}, request.Body...)
	if c.applications.BeforeSend != nil {
		c.applications.BeforeSend(c.client.Place, request)
	}
	serve := func(reply func(framework.AttemptEnd, error)) { application.invoke(request, c.client.Place, reply) }
	network.Request(c.client, application.Place, invokeTimeout, framework.ErrUnreachable, serve, func(end framework.AttemptEnd, err error) {
		if err != nil {
			end = framework.AttemptEnd{Kind: framework.EndLost, Message: err.Error()}
		}
		if c.applications.BeforeAnswer != nil {
			c.applications.BeforeAnswer(c.client.Place, request)
		}
		c.client.Process.Run(func() { done(end) })
	})
}

// Inspect implements framework.ApplicationDriver.
func (c *applicationClient) Inspect(backEnd structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	application := c.applications.members[backEnd]
	if application == nil {
		c.client.Process.AfterFunc(0, func() { done(framework.AttemptStatus{}, framework.ErrNotSent) })
		return
	}
	serve := func(reply func(framework.AttemptStatus, error)) { reply(application.inspect(attempt, epoch)) }
	network.Request(c.client, application.Place, requestTimeout, framework.ErrUnreachable, serve, done)
}
