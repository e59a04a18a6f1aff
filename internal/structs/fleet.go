package structs

// Daemon describes one run of one daemon, as its peers know it.
type Daemon struct {
	ID     DaemonID   `json:"id"`
	Zone   ZoneName   `json:"zone"`
	Region RegionName `json:"region"`
	// HTTPAddress is where callers and operators reach it, "IP:PORT".
	HTTPAddress string `json:"http_address"`
	// Capacity tells how much work the machine can take beside others; 0 counts
	// as 1.
	Capacity int `json:"capacity,omitempty"`
}

// MachineKind tells what a machine on the platform's list runs.
type MachineKind string

// Kinds of machine.
const (
	MachineDaemon      MachineKind = "daemon"
	MachineEngine      MachineKind = "engine"
	MachineApplication MachineKind = "application"
	MachineTool        MachineKind = "tool"
)

// MachineState is the platform's word about a machine; it lags.
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

// EngineRole tells which phases of a call an engine serves.
type EngineRole string

// Roles of an engine.
const (
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
	RoleBoth    EngineRole = "both"
)

// Engine describes one model engine as the scheduler knows it.
type Engine struct {
	ID     EngineID    `json:"id"`
	Zone   ZoneName    `json:"zone"`
	Region RegionName  `json:"region"`
	Models []ModelName `json:"models"`
	Role   EngineRole  `json:"role"`
	// Leaving is set once any source of bad news says so; it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// LoadReport is what an engine last said about itself; it lags.
type LoadReport struct {
	Engine EngineID    `json:"engine"`
	Models []ModelName `json:"models"`
	// Loading lists models that it reads from the weight store.
	Loading []ModelName `json:"loading,omitempty"`
	Role    EngineRole  `json:"role"`
	// Versions are the weight versions that orders have loaded, by model.
	Versions map[ModelName]string `json:"versions,omitempty"`
	// Adapters lists the adapters that are loaded or being read, in order, and
	// MaximumAdapters is how many it has place for; 0 sets no bound.
	Adapters        []EngineAdapter `json:"adapters,omitempty"`
	MaximumAdapters int             `json:"maximum_adapters,omitempty"`
	// Running and Waiting count requests in the batch and in its queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedPrefillTokens counts prompt tokens not yet prefilled.
	QueuedPrefillTokens int64 `json:"queued_prefill_tokens"`
	// MaximumRunning is the largest batch.
	MaximumRunning int `json:"maximum_running"`
	// CacheTokens and CacheCapacityTokens tell the use of the block cache.
	CacheTokens         int64 `json:"cache_tokens"`
	CacheCapacityTokens int64 `json:"cache_capacity_tokens"`
	// HeldTokens is the part of CacheTokens pinned by holds.
	HeldTokens int64 `json:"held_tokens"`
	Draining   bool  `json:"draining"`
	// CacheEventSequence is the last cache event published.
	CacheEventSequence uint64 `json:"cache_event_sequence"`
	// StartedUnixNano tells one run of the engine from the next.
	StartedUnixNano int64 `json:"started_unix_nano"`
}

// CacheEventKind tells what happened to a cached block.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// BlockHash identifies a cache block together with the whole prefix before it.
type BlockHash uint64

// CacheEvent is one change of an engine's prefix cache. Events come late and
// with gaps; a gap shows as a jump of Sequence.
type CacheEvent struct {
	Engine   EngineID       `json:"engine"`
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Model    ModelName      `json:"model"`
	Blocks   []BlockHash    `json:"blocks,omitempty"`
}

// HoldID names engine memory pinned for a program.
type HoldID string

// Hold is engine memory pinned for a program between its calls.
type Hold struct {
	ID      HoldID     `json:"id"`
	Engine  EngineID   `json:"engine"`
	Program ProgramKey `json:"program"`
	Tokens  int64      `json:"tokens"`
}

// OrderKind tells what a fenced order asks of an engine.
type OrderKind string

// Kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderUnloadAdapter has an engine refuse new requests for an adapter.
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order is a fenced order to an engine. An engine refuses an order whose
// Fence is lower than the highest it has seen.
type Order struct {
	Engine  EngineID    `json:"engine"`
	Kind    OrderKind   `json:"kind"`
	Fence   uint64      `json:"fence"`
	Model   ModelName   `json:"model,omitempty"`
	Adapter AdapterName `json:"adapter,omitempty"`
	Version string      `json:"version,omitempty"`
	Role    EngineRole  `json:"role,omitempty"`
}
