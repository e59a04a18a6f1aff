// Package httpapp is the HTTP driver for application back ends and tool services.
// It registers itself as "http".
package httpapp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/plugins/httpdriver"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Name is the driver's name in the settings.
const Name = "http"

const (
	// defaultTimeout bounds one request.
	defaultTimeout = 30 * time.Second
	// maximumAnswerBytes bounds the body of a response.
	maximumAnswerBytes = 4 << 20
)

// Headers of a request.
const (
	HeaderAttempt    = "X-Attempt"
	HeaderEpoch      = "X-Epoch"
	HeaderRepeatable = "X-Repeatable"
	HeaderRejected   = httpdriver.HeaderRejected
)

func init() {
	framework.ApplicationDrivers.Register(Name, New)
}

type driver struct {
	client  *http.Client
	timeout time.Duration
}

// New returns a driver for application back ends and tool services.
func New(settings framework.DriverSettings) framework.ApplicationDriver {
	return &driver{client: httpconn.NewClient(maximumAnswerBytes, 0), timeout: settings.TimeoutOr(defaultTimeout)}
}

// Invoke implements framework.ApplicationDriver.
func (d *driver) Invoke(request framework.ApplicationRequest, done func(framework.AttemptEnd)) {
	go func() { done(d.invoke(request)) }()
}

func (d *driver) invoke(request framework.ApplicationRequest) framework.AttemptEnd {
	ctx, cancel := d.requestContext(request.Deadline)
	defer cancel()
	prepared, err := sling.New().Post("http://"+string(request.BackEnd)+"/operations/"+request.Operation).
		Set(HeaderAttempt, string(request.Attempt)).
		Set(HeaderEpoch, strconv.FormatUint(uint64(request.Epoch), 10)).
		Set(HeaderRepeatable, strconv.FormatBool(request.Repeatable)).
		Body(bytes.NewReader(request.Body)).
		Request()
	if err != nil {
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: err.Error()}
	}
	response, err := d.client.Do(prepared.WithContext(ctx))
	if err != nil {
		return httpdriver.EndForSendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return framework.AttemptEnd{Kind: framework.EndLost, Message: err.Error()}
	}
	return endOfResponse(response, body)
}

// requestContext returns a context that ends at the request's deadline, or after
// the driver's timeout if that is earlier, so that the request to a hung service
// can be inspected in time.
func (d *driver) requestContext(deadline time.Time) (context.Context, context.CancelFunc) {
	latest := time.Now().Add(d.timeout)
	if !deadline.IsZero() && deadline.Before(latest) {
		latest = deadline
	}
	return context.WithDeadline(context.Background(), latest)
}

func endOfResponse(response *http.Response, body []byte) framework.AttemptEnd {
	end := framework.AttemptEnd{Kind: framework.EndCompleted, Body: body, BodyStatus: response.StatusCode}
	if response.Header.Get(HeaderRejected) != "" {
		end.Kind = framework.EndRejected
		end.Draining = response.Header.Get(HeaderRejected) == httpdriver.RejectedDraining
		end.Message = "rejected: " + response.Header.Get(HeaderRejected)
		return end
	}
	if response.StatusCode >= http.StatusBadRequest {
		end.Kind = framework.EndFailed
		end.Reason = structs.ReasonBackEnd
		end.Message = "the back end answered with status " + strconv.Itoa(response.StatusCode)
	}
	return end
}

// inspectQuery holds the query parameters of an inspection.
type inspectQuery struct {
	Attempt structs.AttemptID `url:"attempt"`
	Epoch   structs.Epoch     `url:"epoch"`
}

// Inspect implements framework.ApplicationDriver.
func (d *driver) Inspect(backEnd structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(framework.AttemptStatus, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
		defer cancel()
		prepared, err := sling.New().Get("http://" + string(backEnd) + "/attempts").
			QueryStruct(inspectQuery{Attempt: attempt, Epoch: epoch}).Request()
		if err != nil {
			done(framework.AttemptStatus{}, eris.Wrap(framework.ErrNotSent, err.Error()))
			return
		}
		response, err := d.client.Do(prepared.WithContext(ctx))
		if err != nil {
			done(framework.AttemptStatus{}, eris.Wrap(framework.ErrUnreachable, err.Error()))
			return
		}
		defer func() { _ = response.Body.Close() }()
		var status framework.AttemptStatus
		if err := json.NewDecoder(response.Body).Decode(&status); err != nil || response.StatusCode != http.StatusOK {
			done(framework.AttemptStatus{}, eris.Wrap(framework.ErrUnreachable, "inspect"))
			return
		}
		done(status, nil)
	}()
}
