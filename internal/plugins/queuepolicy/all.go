// Package queuepolicy imports all queue policies, which register themselves.
package queuepolicy

import (
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy/fcfs"          // "fcfs"
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy/leastattained" // "least-attained"
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy/program"       // "program"
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy/shortest"      // "shortest-remaining"
)
