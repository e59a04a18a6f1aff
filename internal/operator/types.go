package operator

import (
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// PathPrefix comes before every path of the operators' interface.
const PathPrefix = "/operator/v1/"

// ErrorCode is a stable, machine-readable cause of a refusal.
type ErrorCode string

// Codes of refusals.
const (
	// CodeUnauthorized: no key, or none of an operator in the settings.
	CodeUnauthorized ErrorCode = "unauthorized"
	// CodeInvalid: the request itself is wrong.
	CodeInvalid ErrorCode = "invalid_request"
	// CodeNotFound: there is no such thing.
	CodeNotFound ErrorCode = "not_found"
	// CodeRefused: the fold of the configuration refused a change.
	CodeRefused ErrorCode = "refused"
	// CodeOutcomeUnknown: it is not known whether a change was appended.
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"
	// CodeNoAnswer: another daemon did not answer in time.
	CodeNoAnswer ErrorCode = "no_answer"
)

// ErrorBody is the answer to a request that failed.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed and why.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Verdict is the fold's, for CodeRefused.
	Verdict *configuration.Verdict `json:"verdict,omitempty"`
	// InForce is the change that made the revision in force, for a change
	// that was built on an older one.
	InForce *configuration.Verdict `json:"in_force,omitempty"`
}

// ConfigurationStatus is how far a daemon has folded the log.
type ConfigurationStatus struct {
	Offset   structs.LogOffset `json:"offset"`
	Digest   uint64            `json:"digest"`
	Revision structs.Revision  `json:"revision"`
	Serving  bool              `json:"serving"`
	Diverged int               `json:"diverged"`
}

// ConfigurationInForce is the whole configuration of a daemon.
type ConfigurationInForce struct {
	Status ConfigurationStatus `json:"status"`
	// Configuration is nil before the first.
	Configuration *structs.Configuration `json:"configuration"`
}

// History lists the verdicts that are remembered, the latest first.
type History struct {
	Verdicts []configuration.Verdict `json:"verdicts"`
}

// FleetStatus is the fleet as one daemon sees it.
type FleetStatus struct {
	Self          structs.Daemon      `json:"self"`
	Configuration ConfigurationStatus `json:"configuration"`
	Shards        replication.Summary `json:"shards"`
	Members       []membership.Member `json:"members"`
	// Machines are the back ends on the platform's list; one that said itself
	// that it drains counts as leaving.
	Machines []structs.Machine `json:"machines"`
}

// Programs lists programs of the whole fleet.
type Programs struct {
	Programs []dispatch.ProgramSummary `json:"programs"`
	// Total counts those beyond the limit too.
	Total int `json:"total"`
	// Unresponsive are daemons that did not answer; their programs are missing.
	Unresponsive []structs.DaemonID `json:"silent,omitempty"`
}
