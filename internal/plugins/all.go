// Package plugins imports all plug-ins, which register themselves.
package plugins

import (
	_ "github.com/mintpulley/mintpulley/internal/plugins/application/httpapp"  // "http" application back ends
	_ "github.com/mintpulley/mintpulley/internal/plugins/engine/openai"        // "openai" engines
	_ "github.com/mintpulley/mintpulley/internal/plugins/eventlog/httplog"     // "http" event log
	_ "github.com/mintpulley/mintpulley/internal/plugins/machinelist/httplist" // "http" machine list
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy"          // queue policies
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer"               // scorers and filters
)
