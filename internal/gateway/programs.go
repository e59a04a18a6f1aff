package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// States of a program and of a request, in addition to the statuses of outcomes.
const (
	stateRunning = "running"
	stateEnded   = "ended"
)

// programBody describes a program to its caller. It does not reveal where the program
// runs.
type programBody struct {
	Program         structs.ProgramID    `json:"program"`
	Template        structs.TemplateName `json:"template"`
	State           string               `json:"state"`
	EndReason       structs.Reason       `json:"end_reason,omitempty"`
	StartedAt       time.Time            `json:"started_at"`
	ActiveAt        time.Time            `json:"active_at"`
	EndedAt         time.Time            `json:"ended_at,omitzero"`
	Budget          structs.Cost         `json:"budget"`
	Spent           structs.Cost         `json:"spent"`
	Reserved        structs.Cost         `json:"reserved"`
	Turns           int                  `json:"turns"`
	NextSequence    uint64               `json:"next_sequence"`
	HistoryMessages int                  `json:"history_messages"`
	HistoryTokens   int64                `json:"history_tokens"`
	SubAgents       int                  `json:"sub_agents"`
	OpenCalls       []openCallBody       `json:"open_calls"`
	SettledCalls    []settledCallBody    `json:"settled_calls"`
}

type openCallBody struct {
	RequestID   structs.RequestID `json:"request_id"`
	Sequence    uint64            `json:"sequence"`
	Kind        structs.CallKind  `json:"kind"`
	Stage       string            `json:"stage"`
	AcceptedAt  time.Time         `json:"accepted_at"`
	AnswerBytes int64             `json:"answer_bytes"`
}

type settledCallBody struct {
	RequestID structs.RequestID     `json:"request_id"`
	Sequence  uint64                `json:"sequence"`
	Kind      structs.CallKind      `json:"kind"`
	Status    structs.OutcomeStatus `json:"status"`
	Reason    structs.Reason        `json:"reason,omitempty"`
	Charged   structs.Cost          `json:"charged"`
}

func (e *exchange) serveProgram() {
	described, found := e.describe(dispatch.Describe{Key: e.programKey()})
	if found {
		e.answerJSON(http.StatusOK, programBodyOf(described))
	}
}

func programBodyOf(described *dispatch.ProgramDescription) programBody {
	body := programBody{
		Program:         described.Key.Program,
		Template:        described.Template,
		State:           stateOf(described.Ended),
		EndReason:       described.EndReason,
		StartedAt:       described.StartedAt,
		ActiveAt:        described.ActiveAt,
		EndedAt:         described.EndedAt,
		Budget:          described.Budget,
		Spent:           described.Spent,
		Reserved:        described.Reserved,
		Turns:           described.Turns,
		NextSequence:    described.NextSequence,
		HistoryMessages: described.HistoryMessages,
		HistoryTokens:   described.HistoryTokens,
		SubAgents:       described.SubAgents,
		OpenCalls:       []openCallBody{},
		SettledCalls:    []settledCallBody{},
	}
	for _, open := range described.Open {
		body.OpenCalls = append(body.OpenCalls, openBodyOf(open))
	}
	for _, settled := range described.Settled {
		body.SettledCalls = append(body.SettledCalls, settledCallBody{
			RequestID: settled.RequestID,
			Sequence:  settled.Sequence,
			Kind:      settled.Kind,
			Status:    settled.Status,
			Reason:    settled.Reason,
			Charged:   settled.Charged,
		})
	}
	return body
}

func openBodyOf(open dispatch.OpenCall) openCallBody {
	return openCallBody{
		RequestID:   open.RequestID,
		Sequence:    open.Sequence,
		Kind:        open.Kind,
		Stage:       open.Stage,
		AcceptedAt:  open.AcceptedAt,
		AnswerBytes: open.AnswerBytes,
	}
}

func stateOf(ended bool) string {
	if ended {
		return stateEnded
	}
	return stateRunning
}

// historyBody is a program's conversation, without the template's system prompt.
type historyBody struct {
	Program  structs.ProgramID `json:"program"`
	Messages []answerMessage   `json:"messages"`
}

func (e *exchange) serveHistory() {
	described, found := e.describe(dispatch.Describe{Key: e.programKey(), WithHistory: true})
	if !found {
		return
	}
	body := historyBody{Program: described.Key.Program, Messages: []answerMessage{}}
	for _, message := range described.History {
		body.Messages = append(body.Messages, answerMessageOf(message))
	}
	e.answerJSON(http.StatusOK, body)
}

// endBody is the response to the end of a program.
type endBody struct {
	Program   structs.ProgramID `json:"program"`
	State     string            `json:"state"`
	EndReason structs.Reason    `json:"end_reason"`
}

func (e *exchange) serveEnd() {
	key := e.programKey()
	ended, err := await(func(done func(dispatch.ProgramEnded, error)) {
		e.gateway.Queries.EndProgram(key, e.gateway.Limits.QueryTimeout, done)
	})
	switch {
	case err != nil:
		e.answerUnavailable()
	case !ended.Known:
		e.answerNotFound(structs.ReasonUnknownProgram, noProgramMessage)
	default:
		e.answerJSON(http.StatusOK, endBody{Program: key.Program, State: stateEnded, EndReason: ended.Reason})
	}
}

// await starts a query and waits for its result, which arrives within the query's
// timeout.
func await[T any](ask func(done func(T, error))) (T, error) {
	type reply struct {
		answer T
		err    error
	}
	replies := make(chan reply, 1)
	ask(func(answer T, err error) { replies <- reply{answer, err} })
	got := <-replies
	return got.answer, got.err
}

// noProgramMessage is the same for programs that never existed, that were removed, and
// that belong to other tenants.
const noProgramMessage = "There is no such program."

// programKey returns the key of the path's program under the caller's own tenant, so
// that a caller cannot address programs of other tenants.
func (e *exchange) programKey() structs.ProgramKey {
	return structs.ProgramKey{Tenant: e.tenant, Program: structs.ProgramID(e.r.PathValue("program"))}
}

// describe queries a program, and reports whether it has a description. If it returns
// false, it has written the response.
func (e *exchange) describe(question dispatch.Describe) (*dispatch.ProgramDescription, bool) {
	described, err := await(func(done func(dispatch.Described, error)) {
		e.gateway.Queries.Describe(question, e.gateway.Limits.QueryTimeout, done)
	})
	switch {
	case err != nil:
		e.answerUnavailable()
		return nil, false
	case described.Program == nil:
		e.answerNotFound(structs.ReasonUnknownProgram, noProgramMessage)
		return nil, false
	default:
		return described.Program, true
	}
}

// retryUnavailable is the retry delay after a query that no leader answered.
const retryUnavailable = 2 * time.Second

func (e *exchange) answerUnavailable() {
	e.status, e.reason = http.StatusServiceUnavailable, structs.ReasonNoMajority
	writeError(e.w, e.status, errorDetail{
		Type:              errorUnavailable,
		Code:              structs.ReasonNoMajority,
		Message:           "The program's records cannot be reached now.",
		RetryAfterSeconds: int(math.Ceil(retryUnavailable.Seconds())),
	})
}

func (e *exchange) answerNotFound(reason structs.Reason, message string) {
	e.status, e.reason = http.StatusNotFound, reason
	writeError(e.w, e.status, errorDetail{Type: errorNotFound, Code: reason, Message: message})
}

func (e *exchange) answerJSON(status int, value any) {
	e.status = status
	writeJSON(e.w, status, value)
}

// jsonOrText returns a back end's answer unchanged if it is JSON, and as a JSON string
// otherwise.
func jsonOrText(body []byte) json.RawMessage {
	if len(body) == 0 || json.Valid(body) {
		return body
	}
	text, _ := json.Marshal(string(body)) // a string can always be encoded
	return text
}
