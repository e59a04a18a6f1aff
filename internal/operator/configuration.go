package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// defaultHistory is the number of verdicts listed when no limit is given.
const defaultHistory = 20

func (h *Handler) status() ConfigurationStatus {
	status := h.Configurations.Status()
	return ConfigurationStatus{
		Offset:   status.Offset,
		Digest:   status.Digest,
		Revision: status.Revision,
		Serving:  status.Serving,
		Diverged: status.Divergences,
	}
}

func (h *Handler) serveConfiguration(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, ConfigurationInForce{Status: h.status(), Configuration: h.Configurations.Status().Configuration})
}

func (h *Handler) serveHistory(w http.ResponseWriter, r *http.Request, _ string) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistory
	}
	verdicts := make(chan []configuration.Verdict, 1)
	h.Configurations.RecentVerdicts(func(all []configuration.Verdict) { verdicts <- all })
	listed := slices.DeleteFunc(<-verdicts, func(verdict configuration.Verdict) bool {
		return verdict.Reason == configuration.VerdictSnapshot
	})
	slices.Reverse(listed)
	writeJSON(w, http.StatusOK, History{Verdicts: listed[:min(limit, len(listed))]})
}

func (h *Handler) serveOperation(w http.ResponseWriter, r *http.Request, _ string) {
	type found struct {
		verdict configuration.Verdict
		known   bool
	}
	result := make(chan found, 1)
	h.Configurations.OperationVerdict(r.PathValue("id"), func(verdict configuration.Verdict, known bool) {
		result <- found{verdict, known}
	})
	got := <-result
	if !got.known {
		writeError(w, http.StatusNotFound, ErrorDetail{Code: CodeNotFound, Message: "No such operation is among the latest."})
		return
	}
	writeJSON(w, http.StatusOK, got.verdict)
}

// readChange decodes a change, sets the authenticated operator's name in it, and
// reports whether it is valid. If it returns false, it has written the response.
func readChange(w http.ResponseWriter, r *http.Request, operator string) (structs.Change, bool) {
	var change structs.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, configuration.MaxEntryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(w, status, ErrorDetail{Code: CodeInvalid, Message: "The change cannot be read: " + err.Error()})
		return change, false
	}
	change.Operator = operator
	return change, true
}

// serveCheck answers with the verdict that a change would get, without publishing it.
func (h *Handler) serveCheck(w http.ResponseWriter, r *http.Request, operator string) {
	change, valid := readChange(w, r, operator)
	if !valid {
		return
	}
	if problems := UnknownPolicies(&change.Patch); len(problems) > 0 {
		writeJSON(w, http.StatusOK, unknownPolicyVerdict(&change, problems))
		return
	}
	result := make(chan configuration.Verdict, 1)
	h.Configurations.Check(change, func(verdict configuration.Verdict) { result <- verdict })
	writeJSON(w, http.StatusOK, <-result)
}

func (h *Handler) servePublish(w http.ResponseWriter, r *http.Request, operator string) {
	change, valid := readChange(w, r, operator)
	if !valid {
		return
	}
	if problems := UnknownPolicies(&change.Patch); len(problems) > 0 {
		verdict := unknownPolicyVerdict(&change, problems)
		h.answerPublished(w, verdict, &configuration.RefusedError{Verdict: verdict})
		return
	}
	type published struct {
		verdict configuration.Verdict
		err     error
	}
	result := make(chan published, 1)
	h.Configurations.Publish(change, h.Publish, func(verdict configuration.Verdict, err error) {
		result <- published{verdict, err}
	})
	select {
	case got := <-result:
		h.answerPublished(w, got.verdict, got.err)
	case <-r.Context().Done():
	}
}

func (h *Handler) answerPublished(w http.ResponseWriter, verdict configuration.Verdict, err error) {
	var refused *configuration.RefusedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, verdict)
	case errors.As(err, &refused):
		writeError(w, http.StatusConflict, ErrorDetail{Code: CodeRefused, Message: refused.Error(), Verdict: &verdict, InForce: refused.InForce})
	default:
		writeError(w, http.StatusGatewayTimeout, ErrorDetail{Code: CodeOutcomeUnknown, Message: configuration.ErrOutcomeUnknown.Error(), Verdict: &verdict})
	}
}
