// Package framework defines the driver interfaces for external systems.
// Plug-ins under internal/plugins implement them and register themselves by
// name; the rest of the code depends only on these interfaces.
//
// Every driver method is asynchronous: it returns immediately and calls its
// callback exactly once (an observer: any number of Chunks, then one End).
// Callbacks may run on any goroutine and must be passed to the owner's serial
// queue.
package framework

import (
	"encoding/json"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// EngineRequest is one dispatch of a model call.
type EngineRequest struct {
	Engine  structs.EngineID    `json:"engine"`
	Attempt structs.AttemptID   `json:"attempt"`
	Epoch   structs.Epoch       `json:"epoch"`
	Model   structs.ModelName   `json:"model"`
	Adapter structs.AdapterName `json:"adapter,omitempty"`
	// Messages is the complete prompt.
	Messages []structs.Message `json:"messages"`
	// Parameters is a JSON object of additional parameters, empty for none.
	Parameters json.RawMessage `json:"parameters,omitempty"`
	// AnswerPrefix is answer text that the caller already has from an engine
	// that was lost; generation continues after it.
	AnswerPrefix  string `json:"answer_prefix,omitempty"`
	MaximumTokens int64  `json:"maximum_tokens"`
	// Priority is 0 (lowest) to 9 (highest).
	Priority int `json:"priority"`
	// ResumeAt requests the stream of a known attempt from this byte offset of
	// the answer text on.
	ResumeAt int64 `json:"resume_at,omitempty"`
	// ResumeOnly makes an engine that does not know the attempt, because it has
	// restarted, answer EndLost instead of running it.
	ResumeOnly bool `json:"resume_only,omitempty"`
	// Hold requests that the engine pin the program's cache under this
	// identifier when the call ends; "" requests nothing.
	Hold structs.HoldID `json:"hold,omitempty"`
	// Discard requests that the engine evict the cache that only this program
	// uses when the call ends, unless the hold is taken. Engines may ignore it.
	Discard bool               `json:"discard,omitempty"`
	Program structs.ProgramKey `json:"program"`
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// EndKind is how an attempt at a back end ended.
type EndKind string

// Ends of an attempt.
const (
	// EndCompleted: the whole answer was delivered.
	EndCompleted EndKind = "completed"
	// EndFailed: the attempt ran and the back end reported an error.
	EndFailed EndKind = "failed"
	// EndRejected: the back end certainly did not run the attempt.
	EndRejected EndKind = "rejected"
	// EndCancelled: the attempt was cancelled on request.
	EndCancelled EndKind = "cancelled"
	// EndLost: the connection broke; the outcome is unknown.
	EndLost EndKind = "lost"
)

// AttemptEnd is the result of an attempt.
type AttemptEnd struct {
	Kind         EndKind
	Reason       structs.Reason
	Message      string
	RetryAfter   time.Duration
	FinishReason string
	Usage        structs.Usage
	// ToolCalls are the tool calls that the model requests in its answer.
	ToolCalls []structs.ToolCall
	// Body and BodyStatus are the answer of an application.
	Body       []byte
	BodyStatus int
	// Draining is set when the back end rejected the attempt because it is
	// draining.
	Draining bool
	// HoldTaken is set when the requested hold is in place.
	HoldTaken bool
}

// EngineObserver receives the stream of one attempt.
type EngineObserver interface {
	// Chunks delivers the next chunks in order, without gaps or duplicates. The
	// observer may keep the slice.
	Chunks(chunks []structs.Chunk)
	// End is called once, after the last chunk.
	End(end AttemptEnd)
}

// Stream is the client's end of the stream of an attempt.
type Stream interface {
	// Detach stops reading without cancelling the attempt. The observer is not
	// called any more.
	Detach()
}

// AttemptState is the state of an attempt at a back end.
type AttemptState string

// States of an attempt at a back end.
const (
	// AttemptAbsent: the back end has not received it since it started.
	AttemptAbsent AttemptState = "absent"
	// AttemptRunning: it is queued or runs; its stream can be resumed.
	AttemptRunning AttemptState = "running"
	// AttemptDone: it has ended; its stream can be read again.
	AttemptDone AttemptState = "done"
)

// AttemptStatus is the answer to an inspection of an attempt.
type AttemptStatus struct {
	State AttemptState `json:"state"`
	// StartedUnixNano is when the back end started. An attempt dispatched before
	// that may have been run before the restart.
	StartedUnixNano int64 `json:"started_unix_nano"`
	// Fenced is set when the back end will refuse this attempt from lower epochs
	// from now on. Without it, AttemptAbsent proves nothing: a paused former
	// leader may still send the attempt.
	Fenced bool `json:"fenced"`
	// Body and BodyStatus are an application's recorded answer.
	Body       []byte `json:"body,omitempty"`
	BodyStatus int    `json:"body_status,omitempty"`
}

// EngineDriver implements the protocol of one kind of model engine.
type EngineDriver interface {
	// Start sends an attempt, or resumes its stream if the engine knows it:
	// between restarts, an engine runs an attempt identifier at most once.
	Start(request EngineRequest, observer EngineObserver) Stream
	// Cancel cancels an attempt. A nil error means that it is cancelled or
	// unknown to the engine.
	Cancel(engine structs.EngineID, attempt structs.AttemptID, done func(error))
	// Inspect requests the status of an attempt, and fences it against epochs
	// below epoch if the engine supports that.
	Inspect(engine structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(AttemptStatus, error))
	// Release releases a hold. A nil error means that the engine no longer has
	// it.
	Release(hold structs.Hold, done func(error))
	// Holds lists the holds of the engine.
	Holds(engine structs.EngineID, done func([]structs.Hold, error))
	// Load reads the engine's latest published report.
	Load(engine structs.EngineID, done func(structs.LoadReport, error))
	// CacheEvents reads the cache events after a sequence number.
	CacheEvents(engine structs.EngineID, after uint64, done func([]structs.CacheEvent, error))
	// Order sends a fenced order. ErrFenced means that the engine has seen a
	// higher fence.
	Order(order structs.Order, done func(error))
	// Transfer copies a program's cache from one engine to another, which pins
	// it under the hold unless that was released. done gets the number of tokens
	// that the receiver has cached.
	Transfer(transfer Transfer, done func(tokens int64, err error))
}

// Transfer is a copy of a program's cache from one engine to another.
type Transfer struct {
	From    structs.EngineID   `json:"from"`
	To      structs.EngineID   `json:"to"`
	Program structs.ProgramKey `json:"program"`
	// Hold is the hold of the next attempt at the receiver, which takes it over
	// when it ends.
	Hold structs.HoldID `json:"hold,omitempty"`
}

// ApplicationRequest is one dispatch of an application or tool call.
type ApplicationRequest struct {
	BackEnd    structs.EngineID
	Attempt    structs.AttemptID
	Program    structs.ProgramKey
	Epoch      structs.Epoch
	Operation  string
	Body       []byte
	Repeatable bool
	Deadline   time.Time
}

// ApplicationDriver implements the protocol of application back ends and tool
// services.
type ApplicationDriver interface {
	// Invoke sends a request. It ends as EndCompleted, EndFailed, EndRejected or
	// EndLost.
	Invoke(request ApplicationRequest, done func(AttemptEnd))
	// Inspect requests the status of an attempt, and fences it against epochs
	// below epoch if the back end supports that.
	Inspect(backEnd structs.EngineID, attempt structs.AttemptID, epoch structs.Epoch, done func(AttemptStatus, error))
}

// StreamName names a stream of the platform's log service.
type StreamName string

// Streams of the fleet.
const (
	// StreamConfiguration carries operators' configuration changes.
	StreamConfiguration StreamName = "configuration"
	// StreamGroups carries the initial group of each shard, and the claims by
	// which a group that has lost its majority is recovered.
	StreamGroups StreamName = "groups"
	// StreamSnapshots is the name prefix of the streams that archive the
	// snapshots and history of each shard.
	StreamSnapshots StreamName = "snapshots"
)

// LogEntry is one entry of a stream.
type LogEntry struct {
	Offset structs.LogOffset `json:"offset"`
	// OperationID is chosen by the writer and unique per append.
	OperationID string `json:"operation_id"`
	Payload     []byte `json:"payload"`
}

// EventLog is the platform's append-only log service. It may be slow or
// unavailable for long. An append that returns an error may have taken effect:
// look the operation up before repeating it.
type EventLog interface {
	// Append adds an entry and returns its offset.
	Append(stream StreamName, operationID string, payload []byte, done func(structs.LogOffset, error))
	// Read returns up to limit entries from an offset on, oldest first. An empty
	// result means that there are none yet, but the read may be stale.
	Read(stream StreamName, from structs.LogOffset, limit int, done func([]LogEntry, error))
}

// Drivers holds one driver per external system.
type Drivers struct {
	Engines      EngineDriver
	Applications ApplicationDriver
	Log          EventLog
	Machines     MachineList
}
