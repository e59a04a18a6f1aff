package relaydaemon

import (
	"strings"
	"testing"
)

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
		memoryMegabytes   float64
		dataMegabytes     int64
		wantAtMost, least int64
	}{
		{name: "no limit", wantAtMost: 0},
		{name: "settings only", memoryMegabytes: 100, wantAtMost: 70, least: 70},
		{name: "data only", dataMegabytes: 144, wantAtMost: 96, least: 90},
		{name: "small machine", memoryMegabytes: 72, dataMegabytes: 72, wantAtMost: 24, least: 16},
		{name: "large limit on data", memoryMegabytes: 100, dataMegabytes: 4096, wantAtMost: 70, least: 70},
	} {
		var settings Settings
		if test.memoryMegabytes > 0 {
			settings.MemoryMegabytes = &test.memoryMegabytes
		}
		got := settings.softMemoryLimit(test.dataMegabytes * megabyte)
		if got > test.wantAtMost*megabyte+1 || got < test.least*megabyte-1 {
			t.Errorf("%s: got %d, want %d to %d MB", test.name, got, test.least, test.wantAtMost)
		}
	}
}

func TestMemoryBelowTheLeastIsNamed(t *testing.T) {
	for _, value := range []string{"0", "-1", "1", "63.9", ".nan"} {
		_, err := ParseSettings("boot.yaml", []byte("memory_megabytes: "+value+"\n"))
		if err == nil || !strings.Contains(err.Error(), "memory_megabytes: is ") {
			t.Errorf("%s: got %v, want an error that names the field", value, err)
		}
	}
	for _, value := range []string{"64", "144", "144.5"} {
		_, err := ParseSettings("boot.yaml", []byte("memory_megabytes: "+value+"\n"))
		if err != nil && strings.Contains(err.Error(), "memory_megabytes") {
			t.Errorf("%s: got %v", value, err)
		}
	}
}

func TestLimitsThatDoNotSuitTheSettingsAreNamed(t *testing.T) {
	memory := 144.0
	settings := Settings{MemoryMegabytes: &memory}
	for _, test := range []struct {
		data        int64
		descriptors int
		want        []string
	}{
		{},
		{data: 144 * megabyte, descriptors: 8200},
		{data: 143 * megabyte, descriptors: 100, want: []string{"ulimit -d", "ulimit -n"}},
	} {
		problems := settings.checkLimits(test.data, test.descriptors)
		if len(problems) != len(test.want) {
			t.Errorf("%+v: got %v", test, problems)
			continue
		}
		for i, want := range test.want {
			if !strings.Contains(problems[i].Error(), want) {
				t.Errorf("%+v: got %v, want %q", test, problems[i], want)
			}
		}
	}
}
