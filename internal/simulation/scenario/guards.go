package scenario

import (
	"github.com/mintpulley/mintpulley/internal/backends"
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/placement"
	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// guardsWithout returns guards with the one against a violation switched off.
func guardsWithout(violation checker.Violation) node.Guards {
	switch violation {
	case checker.CallOrder:
		return node.Guards{Dispatch: dispatch.Guards{SkipOrder: true}}
	case checker.HistoryLost:
		return node.Guards{Dispatch: dispatch.Guards{SkipHistory: true}}
	case checker.HistoryMixed:
		return node.Guards{Dispatch: dispatch.Guards{SkipIsolation: true}}
	case checker.BudgetExceeded:
		return node.Guards{Dispatch: dispatch.Guards{SkipBudget: true}}
	case checker.EngineMemoryLeaked:
		return node.Guards{Dispatch: dispatch.Guards{SkipRelease: true}, Backends: backends.Guards{SkipHoldSweep: true}}
	case checker.AnswerIncomplete:
		return node.Guards{Dispatch: dispatch.Guards{SkipResume: true}, Submit: submit.Guards{SkipResume: true}}
	case checker.RefusalWasRun:
		return node.Guards{Dispatch: dispatch.Guards{SkipRunCheck: true}}
	case checker.RanMoreThanOnce:
		return node.Guards{Dispatch: dispatch.Guards{SkipInspect: true, SkipRecovery: true}}
	case checker.WorkToLeavingBackEnd:
		return node.Guards{Backends: backends.Guards{IgnoreLeaving: true}}
	case checker.StopCutRequest:
		return node.Guards{SkipDrain: true}
	case checker.ConfigurationLate:
		return node.Guards{Configuration: configuration.Guards{SkipDissemination: true}}
	case checker.ConfigurationReverted:
		return node.Guards{Configuration: configuration.Guards{AcceptOlder: true}}
	case checker.EngineOrderConflict:
		return node.Guards{Placement: placement.Guards{SkipRecord: true}}
	default:
		return node.Guards{}
	}
}
