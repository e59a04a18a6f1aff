package dispatch

import "sync"

// retryBudget bounds retries to a fraction of first attempts, so that a failing
// back end does not multiply the load on the others. It is a token bucket: each
// first attempt adds the fraction, each retry takes one.
type retryBudget struct {
	mutex    sync.Mutex
	fraction float64
	burst    float64
	tokens   float64
}

func newRetryBudget(fraction, burst float64) *retryBudget {
	return &retryBudget{fraction: fraction, burst: burst, tokens: burst}
}

// firstAttempt adds to the bucket.
func (b *retryBudget) firstAttempt() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.fraction, b.burst)
}

// retry takes a token from the bucket and reports whether there was one.
func (b *retryBudget) retry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
