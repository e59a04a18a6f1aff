package relaydaemon

// megabitsPerCore is the rate in Mbit/s at which one core reads a shard's records.
const megabitsPerCore = 60.0

// capacity returns the machine's share of the fleet's work as a weight: the rate in Mbit/s at which
// it can receive and then parse records. It is 0 if the settings do not specify the machine.
func (s *Settings) capacity() int {
	if s.ProcessorShare == 0 || s.LinkMegabits == 0 {
		return 0
	}
	processor := megabitsPerCore * s.ProcessorShare * max(s.ProcessorSpeed, 1)
	return max(int(1/(1/processor+1/s.LinkMegabits)), 1)
}
