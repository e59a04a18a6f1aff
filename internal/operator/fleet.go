package operator

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func (h *Handler) serveFleet(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, FleetStatus{
		Self:          h.Self,
		Configuration: h.status(),
		Shards:        h.Shards(),
		Members:       h.Members.Members(),
		Machines:      h.Machines(),
	})
}

// servePrograms asks every daemon for the programs of the shards it leads.
func (h *Handler) servePrograms(w http.ResponseWriter, r *http.Request, _ string) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = programLimit
	}
	tenant := structs.TenantName(r.URL.Query().Get("tenant"))
	writeJSON(w, http.StatusOK, h.listPrograms(tenant, min(limit, programLimit)))
}

func (h *Handler) listPrograms(tenant structs.TenantName, limit int) Programs {
	var mutex sync.Mutex
	var group sync.WaitGroup
	result := Programs{Programs: []dispatch.ProgramSummary{}}
	for _, member := range h.Members.Members() {
		group.Add(1)
		h.Queries.List(member.Daemon.ID, tenant, limit, queryTimeout, func(listed dispatch.Listed, err error) {
			defer group.Done()
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				result.Unresponsive = append(result.Unresponsive, member.Daemon.ID)
				return
			}
			result.Programs = append(result.Programs, listed.Programs...)
			result.Total += listed.Total
		})
	}
	group.Wait()
	slices.Sort(result.Unresponsive)
	slices.SortFunc(result.Programs, latestFirst)
	result.Programs = result.Programs[:min(limit, len(result.Programs))]
	return result
}

// latestFirst orders live programs before ended ones, and then by start time, newest
// first.
func latestFirst(a, b dispatch.ProgramSummary) int {
	if a.Ended != b.Ended {
		if a.Ended {
			return 1
		}
		return -1
	}
	return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Key.String(), b.Key.String()))
}

// serveProgram asks the leader of a program's shard.
func (h *Handler) serveProgram(w http.ResponseWriter, r *http.Request, _ string) {
	key := structs.ProgramKey{Tenant: structs.TenantName(r.PathValue("tenant")), Program: structs.ProgramID(r.PathValue("program"))}
	request := dispatch.Describe{Key: key, WithDecisions: true, WithHistory: r.URL.Query().Get("history") == "true"}
	type described struct {
		answer dispatch.Described
		err    error
	}
	result := make(chan described, 1)
	h.Queries.Describe(request, queryTimeout, func(answer dispatch.Described, err error) {
		result <- described{answer, err}
	})
	got := <-result
	switch {
	case got.err != nil:
		writeError(w, http.StatusGatewayTimeout, ErrorDetail{Code: CodeNoAnswer, Message: "The leader of the program's shard did not answer in time."})
	case got.answer.Program == nil:
		writeError(w, http.StatusNotFound, ErrorDetail{Code: CodeNotFound, Message: "The fleet has no program " + key.String() + "."})
	default:
		writeJSON(w, http.StatusOK, got.answer.Program)
	}
}
