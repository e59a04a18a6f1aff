package structs

import "time"

// Configuration is the result of all accepted changes. It is immutable once in
// force; a change creates a new value.
type Configuration struct {
	Revision  Revision                  `json:"revision" yaml:"revision"`
	Models    map[ModelName]Model       `json:"models" yaml:"models"`
	Templates map[TemplateName]Template `json:"templates" yaml:"templates"`
	Tenants   map[TenantName]Tenant     `json:"tenants" yaml:"tenants"`
	Fleet     FleetPolicy               `json:"fleet" yaml:"fleet"`
}

// Model is a model that callers may request.
type Model struct {
	// PromptCost and CompletionCost are per token.
	PromptCost     Cost `json:"prompt_cost" yaml:"prompt_cost"`
	CompletionCost Cost `json:"completion_cost" yaml:"completion_cost"`
	// ContextTokens bounds the sum of prompt and answer tokens.
	ContextTokens int64 `json:"context_tokens" yaml:"context_tokens"`
	// Version is the weight version that engines should serve.
	Version string `json:"version,omitempty" yaml:"version,omitempty"`
	// MinimumEngines is how many engines should always have it loaded.
	MinimumEngines int `json:"minimum_engines,omitempty" yaml:"minimum_engines,omitempty"`
}

// QueuePolicyName names a queue policy plug-in.
type QueuePolicyName string

// Template describes a kind of program, for which tenants provide parameters.
type Template struct {
	Models []ModelName `json:"models" yaml:"models"`
	// Targets names the applications and tools that its programs may call.
	Targets []string `json:"targets,omitempty" yaml:"targets,omitempty"`
	// SystemPrompt is the prompt prefix of all programs of the template.
	// "{{name}}" is replaced by the tenant's parameter of that name.
	SystemPrompt string `json:"system_prompt,omitempty" yaml:"system_prompt,omitempty"`
	// Parameters names the parameters that a tenant must provide.
	Parameters []string `json:"parameters,omitempty" yaml:"parameters,omitempty"`
	// Budget bounds the cost of one program including its sub-agents.
	Budget Cost `json:"budget" yaml:"budget"`
	// Priority is 0 (lowest) to 9 (highest).
	Priority int    `json:"priority" yaml:"priority"`
	Limits   Limits `json:"limits" yaml:"limits"`
	// ApplicationCost is the fixed cost of an application or tool call.
	ApplicationCost Cost `json:"application_cost,omitempty" yaml:"application_cost,omitempty"`
	// Adapters maps a model to the adapter that its programs' calls use.
	Adapters map[ModelName]AdapterName `json:"adapters,omitempty" yaml:"adapters,omitempty"`
}

// Limits bounds runaway programs. Zero means the daemon's default.
type Limits struct {
	Turns         int           `json:"turns,omitempty" yaml:"turns,omitempty"`
	HistoryTokens int64         `json:"history_tokens,omitempty" yaml:"history_tokens,omitempty"`
	AnswerTokens  int64         `json:"answer_tokens,omitempty" yaml:"answer_tokens,omitempty"`
	WallTime      time.Duration `json:"wall_time,omitempty" yaml:"wall_time,omitempty"`
	// IdleTime is how long a program may have no call before it is ended.
	IdleTime time.Duration `json:"idle_time,omitempty" yaml:"idle_time,omitempty"`
	// HoldTime is how long engine memory is held while a tool runs between two
	// calls.
	HoldTime time.Duration `json:"hold_time,omitempty" yaml:"hold_time,omitempty"`
	// Repetitions is the number of identical consecutive calls that ends the
	// program.
	Repetitions int `json:"repetitions,omitempty" yaml:"repetitions,omitempty"`
	// SubAgents bounds the number of live children of one program.
	SubAgents int `json:"sub_agents,omitempty" yaml:"sub_agents,omitempty"`
}

// Tenant is a customer that shares the fleet with others.
type Tenant struct {
	// KeyHashes are hex SHA-256 digests of the tenant's bearer keys.
	KeyHashes []string `json:"key_hashes" yaml:"key_hashes"`
	// Templates holds the parameters for each template the tenant may use.
	Templates map[TemplateName]TenantTemplate `json:"templates" yaml:"templates"`
	// Share is the tenant's weight when engines are contended; from 1.
	Share int `json:"share" yaml:"share"`
	// BudgetPerHour bounds the cost of all its programs; 0 means unbounded.
	BudgetPerHour Cost `json:"budget_per_hour,omitempty" yaml:"budget_per_hour,omitempty"`
	// Programs bounds the number of its live programs; 0 means unbounded.
	Programs int `json:"programs,omitempty" yaml:"programs,omitempty"`
	// QueuePolicy overrides the fleet's; "" means the fleet's.
	QueuePolicy QueuePolicyName `json:"queue_policy,omitempty" yaml:"queue_policy,omitempty"`
}

// TenantTemplate holds a tenant's parameters and overrides of a template.
type TenantTemplate struct {
	Parameters map[string]string `json:"parameters,omitempty" yaml:"parameters,omitempty"`
	// Budget and Priority override the template's when set.
	Budget   Cost `json:"budget,omitempty" yaml:"budget,omitempty"`
	Priority *int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Adapters overrides the template's adapters by model.
	Adapters map[ModelName]AdapterName `json:"adapters,omitempty" yaml:"adapters,omitempty"`
}

// FleetPolicy holds the settings that apply to the whole fleet.
type FleetPolicy struct {
	// QueuePolicy orders waiting calls; "" means the daemon's default.
	QueuePolicy QueuePolicyName `json:"queue_policy,omitempty" yaml:"queue_policy,omitempty"`
	// CacheWeight weighs cache use against latency, from 0 (latency only) to 1
	// (cache only).
	CacheWeight float64 `json:"cache_weight,omitempty" yaml:"cache_weight,omitempty"`
	// WeightReaders bounds the number of engines in the fleet that read from the
	// weight store concurrently; 0 means the daemon's default.
	WeightReaders int `json:"weight_readers,omitempty" yaml:"weight_readers,omitempty"`
	// EngineRole is the role that engines are set to, "" for the role that each
	// started with; EngineRoles overrides it by engine.
	EngineRole  EngineRole              `json:"engine_role,omitempty" yaml:"engine_role,omitempty"`
	EngineRoles map[EngineID]EngineRole `json:"engine_roles,omitempty" yaml:"engine_roles,omitempty"`
}

// Change is an operator's entry in the configuration stream. It is accepted only
// if Base is the revision in force at its offset and the resulting configuration
// is valid.
type Change struct {
	// OperationID identifies the change if it is published again after the
	// answer was lost; a change that is appended twice is applied once.
	OperationID string `json:"operation_id"`
	Operator    string `json:"operator"`
	Comment     string `json:"comment,omitempty"`
	// At is the time of publication by the operator's clock, for information
	// only.
	At time.Time `json:"at,omitzero"`
	// Base is the revision that the change is based on.
	Base  Revision `json:"base"`
	Patch Patch    `json:"patch"`
}

// Patch sets and removes named values, so that the size of an entry does not
// depend on the size of the configuration.
type Patch struct {
	Models    Edit[ModelName, Model]       `json:"models,omitzero"`
	Templates Edit[TemplateName, Template] `json:"templates,omitzero"`
	Tenants   Edit[TenantName, Tenant]     `json:"tenants,omitzero"`
	// Fleet replaces the fleet's policy; nil keeps it.
	Fleet *FleetPolicy `json:"fleet,omitempty"`
}

// Edit sets and removes named values of one kind. Set replaces whole values.
type Edit[Name ~string, Value any] struct {
	Set map[Name]Value `json:"set,omitempty"`
	// Remove is in ascending order and disjoint from the names in Set.
	Remove []Name `json:"remove,omitempty"`
}

// Empty reports whether the patch changes nothing.
func (p *Patch) Empty() bool {
	return p.Models.Empty() && p.Templates.Empty() && p.Tenants.Empty() && p.Fleet == nil
}

// Empty reports whether the edit changes nothing.
func (e *Edit[Name, Value]) Empty() bool { return len(e.Set) == 0 && len(e.Remove) == 0 }
