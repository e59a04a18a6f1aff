// Package httplist reads the platform's machine list over HTTP. It registers
// itself as "http".
package httplist

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Name is the dialect's name in the settings.
const Name = "http"

// defaultTimeout bounds one reading of the list at one address.
const defaultTimeout = time.Second

func init() {
	framework.MachineLists.Register(Name, New)
}

type list struct {
	client    *http.Client
	addresses []string
}

// New returns a reader of the list.
func New(settings framework.DriverSettings) framework.MachineList {
	client := &http.Client{Timeout: settings.TimeoutOr(defaultTimeout)}
	return &list{client: client, addresses: settings.Addresses}
}

// query is the question for changes.
type query struct {
	Since framework.ListVersion `url:"since"`
}

// List implements framework.MachineList: the first service that answers counts.
func (l *list) List(since framework.ListVersion, done func(framework.ListResponse, error)) {
	go func() {
		for _, address := range l.addresses {
			reading, err := l.readAt(address, since)
			if err == nil {
				done(reading, nil)
				return
			}
		}
		done(framework.ListResponse{}, eris.Wrap(framework.ErrUnreachable, "machine list"))
	}()
}

func (l *list) readAt(address string, since framework.ListVersion) (framework.ListResponse, error) {
	var body json.RawMessage
	request := sling.New().Client(l.client).Get("http://" + address + "/machines").QueryStruct(query{since})
	response, err := request.ReceiveSuccess(&body)
	if err != nil {
		return framework.ListResponse{}, eris.Wrap(err, "machine list: read")
	}
	if response.StatusCode != http.StatusOK {
		return framework.ListResponse{}, eris.Wrapf(framework.ErrUnavailable, "machine list: status %d", response.StatusCode)
	}
	return decode(body)
}

// decode reads an answer: a reading, or just the rows of the whole list, which
// a service sends that knows no versions.
func decode(body json.RawMessage) (framework.ListResponse, error) {
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("[")) {
		var machines []structs.Machine
		if err := json.Unmarshal(body, &machines); err != nil {
			return framework.ListResponse{}, eris.Wrap(err, "machine list: rows")
		}
		return framework.FullListResponse("", machines), nil
	}
	var reading framework.ListResponse
	if err := json.Unmarshal(body, &reading); err != nil {
		return framework.ListResponse{}, eris.Wrap(err, "machine list: reading")
	}
	return reading, nil
}
