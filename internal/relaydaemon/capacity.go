package relaydaemon

// coreMegabits is how many Mbit/s of a shard's records one core reads: 0.85 MB
// took 0.15 s on 0.8 of a core with a fast link, by the logs of a rolling stop.
const coreMegabits = 60.0

// capacity is how much of the fleet's work the machine can take beside others:
// the Mbit/s of records that it receives and reads, one after the other. It is 0
// if the settings do not tell.
func (s *Settings) capacity() int {
	if s.ProcessorShare == 0 || s.LinkMegabits == 0 {
		return 0
	}
	processor := coreMegabits * s.ProcessorShare * max(s.ProcessorSpeed, 1)
	return max(int(1/(1/processor+1/s.LinkMegabits)), 1)
}
