package relaydaemon

import (
	"math"

	"golang.org/x/sys/unix"
)

// descriptorLimit returns the process's limit on open descriptors, 0 if that is not known.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// dataLimit returns the soft limit on the process's data in bytes, 0 if there is none.
func dataLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_DATA, &limit); err != nil || limit.Cur > math.MaxInt64 {
		return 0 // an infinite limit is the largest number
	}
	return int64(limit.Cur)
}
