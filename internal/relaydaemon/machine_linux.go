package relaydaemon

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

// bootIDFile contains an ID of the current boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// machineClock returns the monotonic clock that consecutive processes at an address share, together
// with the ID of the boot, without which a time could be that of another machine. If the ID cannot
// be read, it returns the zero value.
func machineClock(address string) ledger.MachineClock {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ledger.MachineClock{}
	}
	return ledger.MachineClock{Boot: strings.TrimSpace(string(boot)) + "@" + address, Now: uptime, Started: uptime()}
}

func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0 // every kernel has this clock; a record with time 0 counts as old
	}
	return time.Duration(now.Nano())
}
