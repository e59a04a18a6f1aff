package schedule

import "math"

// The histogram of pauses has logarithmic buckets from pauseSmallest up,
// pausesPerDouble to a doubling. All counts are halved after pauseForgetAfter
// observations.
const (
	pauseBuckets     = 64
	pauseSmallest    = 0.05
	pausesPerDouble  = 4
	pauseForgetAfter = 512
	// priorPauses is added to each of the first priorBuckets buckets, since few
	// observations do not show the long tail of pauses.
	priorPauses  = 0.1
	priorBuckets = 48
	// negligiblePrice is the price below which memory counts as free.
	negligiblePrice = 1e-4
)

// pauseStatistics is a decaying histogram of the pauses between a program's
// calls.
type pauseStatistics struct {
	mean   mean
	counts [pauseBuckets]float64
	total  float64
}

func pauseBucket(seconds float64) int {
	if seconds <= pauseSmallest {
		return 0
	}
	return min(int(math.Log2(seconds/pauseSmallest)*pausesPerDouble), pauseBuckets-1)
}

func pauseOf(bucket int) float64 {
	return pauseSmallest * math.Exp2((float64(bucket)+0.5)/pausesPerDouble)
}

func (p *pauseStatistics) add(seconds float64) {
	p.mean.add(seconds)
	p.counts[pauseBucket(seconds)]++
	p.total++
	if p.total < pauseForgetAfter {
		return
	}
	p.total = 0
	for bucket := range p.counts {
		p.counts[bucket] /= 2
		p.total += p.counts[bucket]
	}
}

// bestHold returns for how long a cache should be held over a pause, and the
// expected gain of that. The program returns with probability returns. Holding
// for t costs price for every second until it returns or t has passed, and
// gains 1 if it returns before t.
func (p *pauseStatistics) bestHold(returns, price float64) (seconds, gain float64) {
	if price < negligiblePrice {
		return math.MaxInt32, returns
	}
	if p.total < initialObservations {
		return unknownPauseSeconds, returns - price*defaultPauseSeconds
	}
	total := p.total + priorPauses*priorBuckets
	// away is the probability that the program has not returned yet.
	away, previous, expected := 1.0, 0.0, 0.0
	for bucket, count := range p.counts {
		until := pauseOf(bucket)
		expected -= price * away * (until - previous)
		if bucket < priorBuckets {
			count += priorPauses
		}
		returning := returns * count / total
		expected += returning
		away -= returning
		previous = until
		if expected > gain {
			gain, seconds = expected, until
		}
	}
	return seconds, gain
}
