// Package httpdriver holds what the drivers that speak HTTP have in common: their
// client, and how an error of the connection and a rejected request are understood.
package httpdriver

import (
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
)

// NewClient returns a client that keeps up to a number of idle connections to
// each back end, and any number in all. It asks for no compression, which would
// hold back the pieces of a stream.
func NewClient(idleConnectionsPerBackEnd int) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = idleConnectionsPerBackEnd
	transport.MaxIdleConns = 0 // no limit
	transport.DisableCompression = true
	return &http.Client{Transport: transport}
}

// HeaderRejected is set on answers that say the request certainly did not run.
const HeaderRejected = "X-Rejected"

// RejectedDraining is its value when the back end is leaving.
const RejectedDraining = "draining"

// EndForSendError returns the end of an attempt whose request got no answer. Only
// when no connection was made, so that no byte was sent, is it EndRejected;
// otherwise it may have run, and is EndLost.
func EndForSendError(err error) framework.AttemptEnd {
	var operation *net.OpError
	if eris.As(err, &operation) && operation.Op == "dial" {
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: "connection refused"}
	}
	return framework.AttemptEnd{Kind: framework.EndLost, Message: err.Error()}
}
