// Package httpdriver holds the common parts of HTTP drivers: the client, and the
// interpretation of connection errors and rejected requests.
package httpdriver

import (
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
)

// NewClient returns a client with a limit of idle connections per back end and
// no limit in total. It disables compression, which would delay the events of a
// stream.
func NewClient(idleConnectionsPerBackEnd int) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = idleConnectionsPerBackEnd
	transport.MaxIdleConns = 0 // no limit
	transport.DisableCompression = true
	return &http.Client{Transport: transport}
}

// HeaderRejected is set on responses to requests that certainly did not run.
const HeaderRejected = "X-Rejected"

// RejectedDraining is the value of HeaderRejected when the back end is draining.
const RejectedDraining = "draining"

// EndForSendError returns the end of an attempt whose request got no response.
// It is EndRejected if no connection was established, so that no byte was sent,
// and otherwise EndLost, since the request may have run.
func EndForSendError(err error) framework.AttemptEnd {
	var operation *net.OpError
	if eris.As(err, &operation) && operation.Op == "dial" {
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"}
	}
	return framework.AttemptEnd{Kind: framework.EndLost, Message: err.Error()}
}
