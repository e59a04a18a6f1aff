// Package scorer imports all scorers and filters, which register themselves.
package scorer

import (
	_ "github.com/mintpulley/mintpulley/internal/plugins/filter/serving"         // "serving"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/group"           // "group"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/leastloaded"     // "least-loaded"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/prefix"          // "prefix"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/prefixaffinity"  // "prefix-affinity"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/queue"           // "queue"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/roundrobin"      // "round-robin"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/sessionaffinity" // "session-affinity"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/transfer"        // "transfer"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer/zone"            // "zone"
)
