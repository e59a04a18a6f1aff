package node

import (
	"github.com/mintpulley/mintpulley/internal/backends"
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/placement"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// Guards lets a simulation switch off one protection of one component at a
// time, to verify that its checker detects the resulting fault. The zero value
// has every protection on, and a daemon uses no other.
type Guards struct {
	Backends      backends.Guards
	Dispatch      dispatch.Guards
	Placement     placement.Guards
	Configuration configuration.Guards
	Replication   replication.Guards
	Submit        submit.Guards
	// SkipDrain stops a daemon without handing over its shards, while its
	// callers still wait.
	SkipDrain bool
}
