package operator

import (
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// PathPrefix is the prefix of all paths of the operator API.
const PathPrefix = "/operator/v1/"

// ErrorCode is a stable, machine-readable cause of an error.
type ErrorCode string

// Error codes.
const (
	// CodeUnauthorized: the key is missing or belongs to no operator in the settings.
	CodeUnauthorized ErrorCode = "unauthorized"
	// CodeInvalid: the request is malformed.
	CodeInvalid ErrorCode = "invalid_request"
	// CodeNotFound: the requested object does not exist.
	CodeNotFound ErrorCode = "not_found"
	// CodeRefused: a change was not accepted; the verdict says why.
	CodeRefused ErrorCode = "refused"
	// CodeOutcomeUnknown: it is not known whether a change was appended.
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"
	// CodeNoAnswer: another daemon did not answer in time.
	CodeNoAnswer ErrorCode = "no_answer"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Verdict is the verdict on the refused change, with CodeRefused.
	Verdict *configuration.Verdict `json:"verdict,omitempty"`
	// InForce is the change that made the revision in force, if the refused change was
	// based on an older one.
	InForce *configuration.Verdict `json:"in_force,omitempty"`
}

// ConfigurationStatus is how far a daemon has applied the log of changes, and the
// revision that this gives.
type ConfigurationStatus struct {
	Offset   structs.LogOffset `json:"offset"`
	Digest   uint64            `json:"digest"`
	Revision structs.Revision  `json:"revision"`
	Serving  bool              `json:"serving"`
	Diverged int               `json:"diverged"`
}

// ConfigurationInForce is the whole configuration in force at a daemon.
type ConfigurationInForce struct {
	Status ConfigurationStatus `json:"status"`
	// Configuration is nil until a first one is published.
	Configuration *structs.Configuration `json:"configuration"`
}

// History lists the retained verdicts, newest first.
type History struct {
	Verdicts []configuration.Verdict `json:"verdicts"`
}

// FleetStatus is the fleet as one daemon sees it.
type FleetStatus struct {
	Self          structs.Daemon      `json:"self"`
	Configuration ConfigurationStatus `json:"configuration"`
	Shards        replication.Summary `json:"shards"`
	Members       []membership.Member `json:"members"`
	// Machines are the back ends on the platform's list; one that has announced that
	// it is draining has the state leaving.
	Machines []structs.Machine `json:"machines"`
}

// Programs lists programs of the whole fleet.
type Programs struct {
	Programs []dispatch.ProgramSummary `json:"programs"`
	// Total also counts the programs beyond the limit.
	Total int `json:"total"`
	// Unresponsive lists the daemons that did not answer; their programs are missing.
	Unresponsive []structs.DaemonID `json:"silent,omitempty"`
}
