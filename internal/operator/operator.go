// Package operator is a daemon's HTTP API for operators: the configuration in force
// and its history, checks and publications of changes, the fleet as this daemon sees
// it, and the programs of the whole fleet. Every daemon answers every request.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// queryTimeout bounds the queries to other daemons.
	queryTimeout = 3 * time.Second
	// programLimit bounds the length of a list of programs.
	programLimit = 1000
)

// Configurations reads and publishes the configuration.
type Configurations interface {
	Status() configuration.Status
	RecentVerdicts(done func([]configuration.Verdict))
	OperationVerdict(id string, done func(configuration.Verdict, bool))
	Check(change structs.Change, done func(configuration.Verdict))
	Publish(change structs.Change, settings configuration.PublishSettings, done func(configuration.Verdict, error))
}

// Members lists the daemons of the fleet.
type Members interface {
	Members() []membership.Member
}

// Queries sends queries about programs to daemons.
type Queries interface {
	Describe(request dispatch.Describe, timeout time.Duration, done func(dispatch.Described, error))
	List(daemon structs.DaemonID, tenant structs.TenantName, limit int, timeout time.Duration, done func(dispatch.Listed, error))
}

// Options are the dependencies and settings of a Handler.
type Options struct {
	Self           structs.Daemon
	Operators      []settings.Operator
	Configurations Configurations
	Members        Members
	Queries        Queries
	// Shards counts the daemon's replicas.
	Shards func() replication.Summary
	// Machines returns the back ends on the platform's list.
	Machines func() []structs.Machine
	// Publish bounds a publication.
	Publish configuration.PublishSettings
	Logger  zerolog.Logger
}

// Handler implements http.Handler for all paths under PathPrefix.
type Handler struct {
	Options
	operatorsByKeyHash map[string]string // names of operators
	mux                *http.ServeMux
}

// New returns a handler.
func New(options Options) *Handler {
	h := &Handler{Options: options, operatorsByKeyHash: map[string]string{}, mux: http.NewServeMux()}
	for _, operator := range options.Operators {
		h.operatorsByKeyHash[operator.KeyHash] = operator.Name
	}
	h.handle("GET", "configuration", h.serveConfiguration)
	h.handle("GET", "configuration/history", h.serveHistory)
	h.handle("GET", "configuration/operations/{id}", h.serveOperation)
	h.handle("POST", "configuration/check", h.serveCheck)
	h.handle("POST", "configuration/changes", h.servePublish)
	h.handle("GET", "fleet", h.serveFleet)
	h.handle("GET", "programs", h.servePrograms)
	h.handle("GET", "programs/{tenant}/{program...}", h.serveProgram)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// serveFunc handles a request of an authenticated operator.
type serveFunc func(w http.ResponseWriter, r *http.Request, operator string)

func (h *Handler) handle(method, path string, serve serveFunc) {
	h.mux.HandleFunc(method+" "+PathPrefix+path, func(w http.ResponseWriter, r *http.Request) {
		operator, known := h.operatorOf(r)
		if !known {
			writeError(w, http.StatusUnauthorized, ErrorDetail{Code: CodeUnauthorized, Message: "The key is not that of an operator in this daemon's settings."})
			return
		}
		serve(w, r, operator)
	})
}

// operatorOf returns the operator whose key the request bears. The lookup uses a hash
// of the key, so its timing reveals nothing about the key.
func (h *Handler) operatorOf(r *http.Request) (string, bool) {
	key, bears := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bears || key == "" {
		return "", false
	}
	name, known := h.operatorsByKeyHash[KeyHash(key)]
	return name, known
}

// KeyHash returns the form in which an operator's key is configured in the settings.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails when the client has disconnected
}

func writeError(w http.ResponseWriter, status int, detail ErrorDetail) {
	writeJSON(w, status, ErrorBody{Error: detail})
}
