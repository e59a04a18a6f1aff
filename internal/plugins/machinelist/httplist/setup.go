// Package httplist is the HTTP driver for the platform's machine list. It
// registers itself as "http".
package httplist

import (
	"bytes"
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
const Name = "http"

const (
	// defaultTimeout bounds one read of the list at one address.
	defaultTimeout = time.Second
	// maxListBytes bounds the list.
	maxListBytes = 64 << 20
)

func init() {
	framework.MachineLists.Register(Name, New)
}

type list struct {
	client    *http.Client
	addresses []string
}

// New returns a client of the machine list.
func New(settings framework.DriverSettings) framework.MachineList {
	client := httpconn.NewClient(maxListBytes, settings.TimeoutOr(defaultTimeout))
	return &list{client: client, addresses: settings.Addresses}
}

// query holds the query parameters of a read.
type query struct {
	Since framework.ListVersion `url:"since"`
}

// List implements framework.MachineList. It tries the addresses in order and
// returns the first answer.
func (l *list) List(since framework.ListVersion, done func(framework.ListResponse, error)) {
	go func() {
		for _, address := range l.addresses {
			response, err := l.readAt(address, since)
			if err == nil {
				done(response, nil)
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

// decode decodes a framework.ListResponse, or a bare array with the rows of the
// whole list, as sent by services without versions.
func decode(body json.RawMessage) (framework.ListResponse, error) {
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("[")) {
		var machines []structs.Machine
		if err := json.Unmarshal(body, &machines); err != nil {
			return framework.ListResponse{}, eris.Wrap(err, "machine list: decode rows")
		}
		return framework.FullListResponse("", machines), nil
	}
	var response struct {
		framework.ListResponse
		// Total hides that of the embedded type, to tell whether there is one.
		Total *int `json:"total"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return framework.ListResponse{}, eris.Wrap(err, "machine list: decode response")
	}
	if response.Total == nil {
		return framework.ListResponse{}, eris.Wrap(framework.ErrUnreachable, "machine list: total: is missing")
	}
	response.ListResponse.Total = *response.Total
	return response.ListResponse, nil
}
