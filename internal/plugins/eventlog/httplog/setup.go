// Package httplog is the HTTP driver for the platform's append-only log service.
// It registers itself as "http".
package httplog

import (
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Name is the driver's name in the settings.
const Name = "http"

const (
	// defaultTimeout bounds one append or read at one address.
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds the answer to one read.
	maxAnswerBytes = 64 << 20
)

func init() {
	framework.EventLogs.Register(Name, New)
}

type eventLog struct {
	client    *http.Client
	addresses []string
}

// New returns a client of the log service.
func New(settings framework.DriverSettings) framework.EventLog {
	client := httpconn.NewClient(maxAnswerBytes, settings.TimeoutOr(defaultTimeout))
	return &eventLog{client: client, addresses: settings.Addresses}
}

// appendRequest is the request body of an append.
type appendRequest struct {
	OperationID string `json:"operation_id"`
	Payload     []byte `json:"payload"`
}

// appendResponse is the response body of an append.
type appendResponse struct {
	// Offset is nil if the answer does not tell it.
	Offset *structs.LogOffset `json:"offset"`
}

// Append implements framework.EventLog. It uses only the first address: a retry
// at another could append twice.
func (l *eventLog) Append(stream framework.StreamName, operationID string, payload []byte, done func(structs.LogOffset, error)) {
	go func() {
		var answer appendResponse
		request := sling.New().Client(l.client).Post("http://" + l.addresses[0] + "/streams/" + string(stream)).
			BodyJSON(appendRequest{OperationID: operationID, Payload: payload})
		response, err := request.ReceiveSuccess(&answer)
		switch {
		case err != nil || response.StatusCode != http.StatusOK:
			done(0, unreachable(err))
		case answer.Offset == nil:
			done(0, unreachable(errMalformed))
		default:
			done(*answer.Offset, nil)
		}
	}()
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	From  structs.LogOffset `url:"from"`
	Limit int               `url:"limit"`
}

// Read implements framework.EventLog. It tries the addresses in order and returns
// the first answer.
func (l *eventLog) Read(stream framework.StreamName, from structs.LogOffset, limit int, done func([]framework.LogEntry, error)) {
	go func() {
		var last error
		for _, address := range l.addresses {
			var entries []framework.LogEntry
			request := sling.New().Client(l.client).Get("http://" + address + "/streams/" + string(stream)).
				QueryStruct(readQuery{From: from, Limit: limit})
			response, err := request.ReceiveSuccess(&entries)
			if err == nil && response.StatusCode == http.StatusOK {
				if entries != nil {
					done(entries, nil)
					return
				}
				err = errMalformed
			}
			last = err
		}
		done(nil, unreachable(last))
	}()
}

// errMalformed: an answer with the status 200 lacks what was asked for.
var errMalformed = eris.New("httplog: the answer is malformed")

// unreachable returns the error of a call that failed with err, or with another status than 200 if err is nil.
func unreachable(err error) error {
	if err == nil {
		return eris.Wrap(framework.ErrUnavailable, "event log")
	}
	return eris.Wrap(framework.ErrUnreachable, err.Error())
}
