// Package httpdriver holds the common parts of HTTP drivers: the interpretation of
// connection errors and rejected requests.
package httpdriver

import (
	"net"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn"
)

// HeaderRejected is set on responses to requests that certainly did not run.
const HeaderRejected = "X-Rejected"

// RejectedDraining is the value of HeaderRejected when the back end is draining.
const RejectedDraining = "draining"

// EndForSendError returns the end of an attempt whose request got no response.
// It is EndRejected if no byte was sent, and otherwise EndLost, since the request
// may have run.
func EndForSendError(err error) framework.AttemptEnd {
	var operation *net.OpError
	if httpconn.IsNotSent(err) || eris.As(err, &operation) && operation.Op == "dial" {
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: "not sent: " + err.Error()}
	}
	return framework.AttemptEnd{Kind: framework.EndLost, Message: err.Error()}
}
