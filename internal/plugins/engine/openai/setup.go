// Package openai is the driver for model engines with an OpenAI-compatible API,
// extended by the paths in wire.go. It registers itself as "openai".
package openai

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Name is the driver's name in the settings.
const Name = "openai"

const (
	// defaultTimeout bounds one request that is not a stream.
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
)

func init() {
	framework.EngineDrivers.Register(Name, New)
}

type driver struct {
	// client makes the requests whose answers are not streams.
	client  *http.Client
	streams *http.Client
	timeout time.Duration
}

// New returns a driver for all OpenAI-compatible engines.
func New(settings framework.DriverSettings) framework.EngineDriver {
	return &driver{
		client:  httpconn.NewClient(maxAnswerBytes, 0),
		streams: httpconn.NewStreamClient(),
		timeout: settings.TimeoutOr(defaultTimeout),
	}
}

// Cancel implements framework.EngineDriver.
func (d *driver) Cancel(engine structs.EngineID, attempt structs.AttemptID, done func(error)) {
	request := sling.New().Post(url(engine, PathCancel)).BodyJSON(CancelRequest{Attempt: attempt})
	go func() { done(d.roundTrip(request, nil)) }()
}

// Inspect implements framework.EngineDriver.
func (d *driver) Inspect(engine structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	request := sling.New().Get(url(engine, PathAttempts)).QueryStruct(InspectQuery{Attempt: attempt, Epoch: epoch})
	go func() {
		var status framework.AttemptStatus
		err := d.roundTrip(request, &status)
		done(status, err)
	}()
}

// Release implements framework.EngineDriver.
func (d *driver) Release(hold structs.Hold, done func(error)) {
	request := sling.New().Post(url(hold.Engine, PathRelease)).BodyJSON(ReleaseRequest{Hold: hold.ID})
	go func() { done(d.roundTrip(request, nil)) }()
}

// Holds implements framework.EngineDriver.
func (d *driver) Holds(engine structs.EngineID, done func([]structs.Hold, error)) {
	request := sling.New().Get(url(engine, PathHolds))
	go func() {
		var holds []structs.Hold
		err := d.roundTrip(request, &holds)
		done(holds, err)
	}()
}

// Load implements framework.EngineDriver.
func (d *driver) Load(engine structs.EngineID, done func(structs.LoadReport, error)) {
	request := sling.New().Get(url(engine, PathLoad))
	go func() {
		var report structs.LoadReport
		err := d.roundTrip(request, &report)
		report.Engine = engine
		done(report, err)
	}()
}

// CacheEvents implements framework.EngineDriver.
func (d *driver) CacheEvents(engine structs.EngineID, after uint64, done func([]structs.CacheEvent, error)) {
	request := sling.New().Get(url(engine, PathCacheEvents)).QueryStruct(EventsQuery{After: after})
	go func() {
		var events []structs.CacheEvent
		err := d.roundTrip(request, &events)
		done(events, err)
	}()
}

// Order implements framework.EngineDriver.
func (d *driver) Order(order structs.Order, done func(error)) {
	request := sling.New().Post(url(order.Engine, PathOrders)).BodyJSON(order)
	go func() { done(d.roundTrip(request, nil)) }()
}

// Transfer implements framework.EngineDriver.
func (d *driver) Transfer(transfer framework.Transfer, done func(int64, error)) {
	body := TransferRequest{From: transfer.From, Program: transfer.Program, Hold: transfer.Hold}
	request := sling.New().Post(url(transfer.To, PathTransfer)).BodyJSON(body)
	go func() {
		var answer TransferAnswer
		err := d.roundTrip(request, &answer)
		done(answer.Tokens, err)
	}()
}

func url(engine structs.EngineID, path string) string { return "http://" + string(engine) + path }

// roundTrip sends a request and decodes its JSON response into answer, unless
// that is nil.
func (d *driver) roundTrip(request *sling.Sling, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
	defer cancel()
	prepared, err := request.Request()
	if err != nil {
		return eris.Wrap(framework.ErrNotSent, err.Error())
	}
	response, err := d.client.Do(prepared.WithContext(ctx))
	if err != nil {
		return eris.Wrap(framework.ErrUnreachable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusConflict:
		return eris.Wrap(framework.ErrFenced, "engine")
	case response.StatusCode == http.StatusServiceUnavailable:
		return eris.Wrap(framework.ErrUnavailable, "engine")
	case response.StatusCode >= http.StatusBadRequest:
		return eris.Wrapf(framework.ErrRefused, "status %d", response.StatusCode)
	case answer == nil:
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return eris.Wrap(framework.ErrUnreachable, err.Error())
	}
	return nil
}
