//go:build !linux

package relaydaemon

// descriptorLimit returns 0: the limit is not known.
func descriptorLimit() int { return 0 }

// dataLimit returns 0: only Linux counts the process's data.
func dataLimit() int64 { return 0 }
