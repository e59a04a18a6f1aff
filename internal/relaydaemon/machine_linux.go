package relaydaemon

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mintpulley/mintpulley/internal/ledger"
)

// bootFile names the machine's run.
const bootFile = "/proc/sys/kernel/random/boot_id"

// machineClock returns the steady clock that all processes of the machine share that
// follow each other at an address: there is one at a time. Without the machine's run
// it could be that of another machine: then it is no use.
func machineClock(address string) ledger.MachineClock {
	boot, err := os.ReadFile(bootFile)
	if err != nil {
		return ledger.MachineClock{}
	}
	return ledger.MachineClock{Boot: strings.TrimSpace(string(boot)) + "@" + address, Now: uptime, Started: uptime()}
}

func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0 // the clock is one that every kernel has; a record of 0 counts as old
	}
	return time.Duration(now.Nano())
}
