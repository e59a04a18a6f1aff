//go:build !linux

package relaydaemon

import "github.com/mintpulley/mintpulley/internal/ledger"

// machineClock returns none: what a former run may have granted is not known then.
func machineClock(string) ledger.MachineClock { return ledger.MachineClock{} }
