package structs

// Daemon describes one incarnation of a daemon, as known to its peers.
type Daemon struct {
	ID     DaemonID   `json:"id"`
	Zone   ZoneName   `json:"zone"`
	Region RegionName `json:"region"`
	// HTTPAddress is the address at which callers and operators reach it,
	// "IP:PORT".
	HTTPAddress string `json:"http_address"`
	// Capacity is the machine's capacity relative to other machines; 0 counts as
	// 1.
	Capacity int `json:"capacity,omitempty"`
}

// MachineKind is what a machine on the platform's list runs.
type MachineKind string

// Kinds of machine.
const (
	MachineDaemon      MachineKind = "daemon"
	MachineEngine      MachineKind = "engine"
	MachineApplication MachineKind = "application"
	MachineTool        MachineKind = "tool"
)

// MachineState is the state of a machine on the platform's list; it may be
// stale.
type MachineState string

// States of a machine on the platform's list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one row of the platform's list of live and leaving machines.
type Machine struct {
	Kind    MachineKind  `json:"kind"`
	Address string       `json:"address"`
	Zone    ZoneName     `json:"zone"`
	Region  RegionName   `json:"region"`
	State   MachineState `json:"state"`
	// Name is the back end's name for applications and tools.
	Name string `json:"name,omitempty"`
}

// EngineRole selects the phases of a call that an engine serves.
type EngineRole string

// Roles of an engine.
const (
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
	RoleBoth    EngineRole = "both"
)

// Engine describes one model engine as known to the scheduler.
type Engine struct {
	ID     EngineID    `json:"id"`
	Zone   ZoneName    `json:"zone"`
	Region RegionName  `json:"region"`
	Models []ModelName `json:"models"`
	Role   EngineRole  `json:"role"`
	// Leaving is set once any source reports that the engine is draining or
	// gone; it gets no new calls.
	Leaving bool `json:"leaving,omitempty"`
}

// LoadReport is the latest load report of an engine; it may be stale.
type LoadReport struct {
	Engine EngineID    `json:"engine"`
	Models []ModelName `json:"models"`
	// Loading lists the models that it is reading from the weight store.
	Loading []ModelName `json:"loading,omitempty"`
	Role    EngineRole  `json:"role"`
	// Versions maps a model to the weight version that an order has loaded.
	Versions map[ModelName]string `json:"versions,omitempty"`
	// Adapters lists the adapters that are loaded or being read, in order.
	// MaximumAdapters is the number that fit; 0 means unbounded.
	Adapters        []EngineAdapter `json:"adapters,omitempty"`
	MaximumAdapters int             `json:"maximum_adapters,omitempty"`
	// Running and Waiting count the requests in the batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens counts the prompt tokens that are not prefilled yet.
	QueuedPrefillTokens int64 `json:"queued_prefill_tokens"`
	// MaximumRunning is the maximum batch size.
	MaximumRunning int `json:"maximum_running"`
	// CacheTokens and CacheCapacityTokens are the used and the total size of the
	// block cache.
	CacheTokens         int64 `json:"cache_tokens"`
	CacheCapacityTokens int64 `json:"cache_capacity_tokens"`
	// HeldTokens is the part of CacheTokens pinned by holds.
	HeldTokens int64 `json:"held_tokens"`
	Draining   bool  `json:"draining"`
	// CacheEventSequence is the sequence number of the last published cache
	// event.
	CacheEventSequence uint64 `json:"cache_event_sequence"`
	// StartedUnixNano is when the engine started; it changes with each restart.
	StartedUnixNano int64 `json:"started_unix_nano"`
}

// CacheEventKind is the kind of change of a cached block.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// BlockHash identifies a cache block together with its whole prefix.
type BlockHash uint64

// CacheEvent is one change of an engine's prefix cache. Events may be delayed or
// lost; a loss shows as a gap in Sequence.
type CacheEvent struct {
	Engine   EngineID       `json:"engine"`
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Model    ModelName      `json:"model"`
	Blocks   []BlockHash    `json:"blocks,omitempty"`
}

// HoldID identifies a Hold.
type HoldID string

// Hold is engine memory pinned for a program between its calls.
type Hold struct {
	ID      HoldID     `json:"id"`
	Engine  EngineID   `json:"engine"`
	Program ProgramKey `json:"program"`
	Tokens  int64      `json:"tokens"`
}

// OrderKind is the action that an order requests from an engine.
type OrderKind string

// Kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderUnloadAdapter makes an engine refuse new requests for an adapter.
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order is a control command to an engine. An engine refuses an order whose
// Fence is lower than the highest that it has seen.
type Order struct {
	Engine  EngineID    `json:"engine"`
	Kind    OrderKind   `json:"kind"`
	Fence   uint64      `json:"fence"`
	Model   ModelName   `json:"model,omitempty"`
	Adapter AdapterName `json:"adapter,omitempty"`
	Version string      `json:"version,omitempty"`
	Role    EngineRole  `json:"role,omitempty"`
}
