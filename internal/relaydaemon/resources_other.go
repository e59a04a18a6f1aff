//go:build !linux

package relaydaemon

// dataLimit returns 0: only Linux counts the process's data.
func dataLimit() int64 { return 0 }
