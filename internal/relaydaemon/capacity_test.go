package relaydaemon

import "testing"

func TestCapacityDependsOnProcessorAndLink(t *testing.T) {
	small := Settings{ProcessorShare: 0.2, ProcessorSpeed: 1, LinkMegabits: 30}
	large := Settings{ProcessorShare: 0.8, ProcessorSpeed: 1, LinkMegabits: 600}
	slowLink := Settings{ProcessorShare: 0.8, ProcessorSpeed: 1, LinkMegabits: 5}
	unknown := Settings{}
	if got := unknown.capacity(); got != 0 {
		t.Errorf("settings without the machine's resources: capacity %d, want 0", got)
	}
	if 4*small.capacity() >= large.capacity() {
		t.Errorf("small machine %d, large machine %d; want less than a quarter", small.capacity(), large.capacity())
	}
	if slowLink.capacity() >= small.capacity() {
		t.Errorf("slow link %d, small machine %d; want less", slowLink.capacity(), small.capacity())
	}
}
