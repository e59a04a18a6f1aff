//go:build !linux

package relaydaemon

import "github.com/mintpulley/mintpulley/internal/ledger"

// machineClock returns none: the daemon then does not know what an earlier process may have
// granted.
func machineClock(string) ledger.MachineClock { return ledger.MachineClock{} }
