package relaydaemon

import "testing"

func TestCoresFollowTheProcessorShare(t *testing.T) {
	for _, test := range []struct {
		share     float64
		available int
		want      int
	}{
		{share: 0, available: 8, want: 8},
		{share: 0.192, available: 8, want: 1},
		{share: 0.8, available: 64, want: 1},
		{share: 1, available: 8, want: 1},
		{share: 1.5, available: 8, want: 2},
		{share: 16, available: 8, want: 8},
	} {
		settings := Settings{ProcessorShare: test.share}
		if got := settings.cores(test.available); got != test.want {
			t.Errorf("share %v of %d cores: got %d, want %d", test.share, test.available, got, test.want)
		}
	}
}

func TestSoftMemoryLimitLeavesRoomForOtherData(t *testing.T) {
	for _, test := range []struct {
		name              string
		memoryMegabytes   int
		dataMegabytes     int64
		wantAtMost, least int64
	}{
		{name: "no limit", wantAtMost: 0},
		{name: "settings only", memoryMegabytes: 100, wantAtMost: 70, least: 70},
		{name: "data only", dataMegabytes: 144, wantAtMost: 96, least: 90},
		{name: "small machine", memoryMegabytes: 72, dataMegabytes: 72, wantAtMost: 24, least: 16},
		{name: "large limit on data", memoryMegabytes: 100, dataMegabytes: 4096, wantAtMost: 70, least: 70},
	} {
		settings := Settings{MemoryMegabytes: test.memoryMegabytes}
		got := settings.softMemoryLimit(test.dataMegabytes * megabyte)
		if got > test.wantAtMost*megabyte+1 || got < test.least*megabyte-1 {
			t.Errorf("%s: got %d, want %d to %d MB", test.name, got, test.least, test.wantAtMost)
		}
	}
}
