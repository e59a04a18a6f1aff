// Package admission decides whether a request that cannot proceed waits or is
// refused, and when a refused caller should retry.
//
// A request is held up by a condition: the store is unavailable, a program's shard
// is being taken over, or all instances of a service are at capacity. The longer a
// condition has lasted, the longer it tends to go on. Durations are therefore
// modelled by a Pareto (Lomax) distribution: a condition that has lasted e ends
// within a further w with probability
//
//	P = 1 - ((scale + e) / (scale + e + w))^shape
//
// The scale is that of the shortest conditions of a kind. The shape is estimated
// from the durations of past conditions by maximum likelihood. A request waits as
// long as it is more likely than not to be served before its caller stops waiting,
// and is refused when that no longer holds.
//
// The package uses no clock and starts no goroutines. It is safe for concurrent
// use.
package admission

import (
	"math"
	"sync"
	"time"
)

// Kind is a condition that holds requests up.
type Kind int

// Conditions that hold requests up.
const (
	// ShardMoving: a program's shard is being taken over, or its holder is unknown.
	ShardMoving Kind = iota
	// StoreUnavailable: no daemon reaches the store.
	StoreUnavailable
	// ServiceFull: all instances of a service refuse requests because they are at capacity.
	ServiceFull
	// NoInstances: no instance of a service is known.
	NoInstances
	// ServiceEvacuated: all instances of a service are in zones that operators have
	// evacuated.
	ServiceEvacuated
	// RoutesUnknown: the daemon has just started and has not read the routes yet.
	RoutesUnknown
	kindCount
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case ShardMoving:
		return "shard_moving"
	case StoreUnavailable:
		return "store_out"
	case ServiceFull:
		return "service_full"
	case NoInstances:
		return "service_gone"
	case ServiceEvacuated:
		return "service_evacuated"
	case RoutesUnknown:
		return "routes_unknown"
	}
	return "unknown"
}

// scales are the scale parameters of the distributions: the duration of the shortest
// conditions of each kind, derived from the timeouts that cause them.
var scales = [kindCount]time.Duration{
	// Claiming and reading a small shard, after its holder was silent for 0.3 s (package
	// ledger).
	ShardMoving: 300 * time.Millisecond,
	// Detecting that the store is unavailable (packages store/proxy and ledger).
	StoreUnavailable: 700 * time.Millisecond,
	// A few requests of tens of milliseconds complete and free their slots.
	ServiceFull: 50 * time.Millisecond,
	// One heartbeat of an instance that starts.
	NoInstances: time.Second,
	// The operators' usual bound on emptying a zone.
	ServiceEvacuated: 5 * time.Second,
	// One read of the routes on a small machine where other processes start, too.
	RoutesUnknown: 200 * time.Millisecond,
}

const (
	// minSuccessProbability is the probability of being served in time above which a
	// request waits.
	minSuccessProbability = 0.5
	// priorShape is the shape of the prior: half of the conditions that have lasted e
	// (beyond the scale) end within another e.
	priorShape = 1.0
	// priorWeight is the number of samples that the prior weighs.
	priorWeight = 4.0
	// minShape and maxShape bound the estimate: a few outliers must neither make requests
	// wait indefinitely nor refuse all of them.
	minShape = 0.5
	maxShape = 4.0
	// maxSampleWeight bounds the number of samples that past conditions weigh, so that the
	// estimate follows recent ones.
	maxSampleWeight = 32.0
)

// Controller forecasts when conditions end, and decides which requests wait for that. The
// zero value is ready to use.
type Controller struct {
	mutex   sync.Mutex
	samples [kindCount]samples
}

// samples are the sufficient statistics of the durations of one kind of condition.
type samples struct {
	count float64
	// logSum is the sum of ln(1 + duration/scale).
	logSum float64
}

// HeldUpRequest is a request that a condition keeps from proceeding.
type HeldUpRequest struct {
	Kind Kind
	// Since is when the condition began, as far as known.
	Since time.Time
	// LatestStart is the latest time at which serving may start and still be of use to the
	// caller: the end of its deadline or patience, minus the usual serving time.
	LatestStart time.Time
}

// Decision states how long a held-up request waits, and the forecast behind that.
type Decision struct {
	// WaitUntil is the time until which the request waits, and at which it is refused. If
	// it is past, the request is refused at once.
	WaitUntil time.Time
	// SuccessProbability is the probability that the request is served in time if it goes
	// on waiting.
	SuccessProbability float64
	// MedianRemaining is the median of the condition's remaining duration.
	MedianRemaining time.Duration
}

// ShouldWait reports whether the request should still wait at now.
func (d Decision) ShouldWait(now time.Time) bool { return now.Before(d.WaitUntil) }

// Decide forecasts when the condition ends, and decides how long the request waits for it.
func (a *Controller) Decide(wait HeldUpRequest, now time.Time) Decision {
	scale, shape := scales[wait.Kind].Seconds(), a.shape(wait.Kind)
	lasted := max(now.Sub(wait.Since), 0).Seconds()
	left := wait.LatestStart.Sub(now).Seconds()
	// The median of the remaining duration is factor * (scale + lasted).
	factor := math.Pow(1-minSuccessProbability, -1/shape) - 1
	decision := Decision{MedianRemaining: seconds(factor * (scale + lasted))}
	if left <= 0 {
		decision.WaitUntil = now
		return decision
	}
	decision.SuccessProbability = 1 - math.Pow((scale+lasted)/(scale+lasted+left), shape)
	// The success probability falls to one half at x from now, where left-x =
	// factor*(scale+lasted+x).
	decision.WaitUntil = now.Add(seconds((left - factor*(scale+lasted)) / (1 + factor)))
	return decision
}

// ObserveDuration adds the duration of a condition that ended to the estimate for its kind.
func (a *Controller) ObserveDuration(kind Kind, lasted time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := &a.samples[kind]
	if l.count >= maxSampleWeight {
		l.logSum *= (maxSampleWeight - 1) / l.count
		l.count = maxSampleWeight - 1
	}
	l.count++
	l.logSum += math.Log1p(max(lasted, 0).Seconds() / scales[kind].Seconds())
}

// shape returns the maximum likelihood estimate of a kind's shape, combined with the prior.
func (a *Controller) shape(kind Kind) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.samples[kind]
	shape := (priorWeight + l.count) / (priorWeight/priorShape + l.logSum)
	return min(max(shape, minShape), maxShape)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
