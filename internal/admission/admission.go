// Package admission decides whether a request that cannot go on at this moment
// waits or is refused, and when a refused caller had better come back.
//
// What holds a request up is a condition: the store is out, a program's shard is
// being taken over, all instances of a service are full. A condition that has
// lasted long tends to last on, so how long conditions of a kind last is taken as
// a Pareto (Lomax) distribution: one that has lasted e ends within a further w
// with probability
//
//	P = 1 - ((scale + e) / (scale + e + w))^shape
//
// Its scale is that of the shortest troubles of the kind, and its shape is learned
// from those that ended, by maximum likelihood. A request waits while it is more
// likely served than not by the time at which an answer stops counting for its
// caller, and is refused at the moment at which that hope ends.
//
// The package is pure: it has no clock and no goroutine. It is safe for
// concurrent use.
package admission

import (
	"math"
	"sync"
	"time"
)

// Kind is a kind of condition that holds requests up.
type Kind int

// Kinds of conditions.
const (
	// ShardMoving: a program's shard is being taken over, or its holder is not
	// known.
	ShardMoving Kind = iota
	// StoreOut: the store answers nobody.
	StoreUnavailable
	// ServiceFull: all instances of a service refuse requests, as they are full.
	ServiceFull
	// ServiceGone: no instance of a service is known.
	NoInstances
	// ServiceEvacuated: all instances of a service are in zones that the operators
	// evacuated.
	ServiceEvacuated
	// RoutesUnknown: the daemon has just started and knows no routes yet.
	RoutesUnknown
	kinds
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

// scales are what the shortest troubles of each kind last, from the times that
// cause them.
var scales = [kinds]time.Duration{
	// A claim and the reading of a small shard, after a silence of 0.3 s (ledger).
	ShardMoving: 300 * time.Millisecond,
	// What it takes to notice that the store is out (store/proxy, ledger).
	StoreUnavailable: 700 * time.Millisecond,
	// A few requests of some tens of milliseconds that end and make places free.
	ServiceFull: 50 * time.Millisecond,
	// A heartbeat of an instance that is starting.
	NoInstances: time.Second,
	// What it takes to empty a zone: the operators' usual bound on that.
	ServiceEvacuated: 5 * time.Second,
	// One reading of the routes on a small machine that starts beside others.
	RoutesUnknown: 200 * time.Millisecond,
}

const (
	// evenOdds is the probability from which on a request waits.
	evenOdds = 0.5
	// priorShape is the shape before anything was learned: half of the conditions
	// that have lasted e (beyond the scale) end within another e.
	priorShape = 1.0
	// priorCount is how many conditions that belief weighs.
	priorCount = 4.0
	// leastShape and mostShape bound what is learned: a few odd conditions must
	// make no request wait for ever, nor refuse all.
	leastShape = 0.5
	mostShape  = 4.0
	// learnedLimit bounds the conditions that what was learned weighs, so that it
	// follows the times.
	learnedLimit = 32.0
)

// Admission forecasts and decides. The zero value is ready.
type Controller struct {
	mutex   sync.Mutex
	learned [kinds]learned
}

// learned is what the conditions of a kind that ended tell of its shape.
type learned struct {
	count float64
	// logs is the sum of ln(1 + length/scale).
	logs float64
}

// Wait is a request that is held up.
type HeldUpRequest struct {
	Kind Kind
	// Since is when the condition began, as far as is known.
	Since time.Time
	// Worthless is when being served stops to count for the caller: the end of its
	// time or patience, less what serving takes.
	LatestStart time.Time
}

// Decision is what becomes of a request that is held up.
type Decision struct {
	// Until is the moment to which the request waits; it is refused then. One that
	// is past is refused at once.
	WaitUntil time.Time
	// Chance is the probability that it is served in time if it waits on now.
	SuccessProbability float64
	// Remaining is how long the condition lasts on from now, with even odds.
	MedianRemaining time.Duration
}

// Waits tells whether the request is to wait at a time.
func (d Decision) ShouldWait(now time.Time) bool { return now.Before(d.WaitUntil) }

// Decide forecasts a condition's end at a time and decides.
func (a *Controller) Decide(wait HeldUpRequest, now time.Time) Decision {
	scale, shape := scales[wait.Kind].Seconds(), a.shape(wait.Kind)
	lasted := max(now.Sub(wait.Since), 0).Seconds()
	left := wait.LatestStart.Sub(now).Seconds()
	// factor times (scale + lasted) is what a condition lasts on with even odds.
	factor := math.Pow(1-evenOdds, -1/shape) - 1
	decision := Decision{MedianRemaining: seconds(factor * (scale + lasted))}
	if left <= 0 {
		decision.WaitUntil = now
		return decision
	}
	decision.SuccessProbability = 1 - math.Pow((scale+lasted)/(scale+lasted+left), shape)
	// The odds are even when left-x = factor*(scale+lasted+x).
	decision.WaitUntil = now.Add(seconds((left - factor*(scale+lasted)) / (1 + factor)))
	return decision
}

// Ended takes note of how long a condition lasted that ended.
func (a *Controller) ObserveDuration(kind Kind, lasted time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := &a.learned[kind]
	if l.count >= learnedLimit {
		l.logs *= (learnedLimit - 1) / l.count
		l.count = learnedLimit - 1
	}
	l.count++
	l.logs += math.Log1p(max(lasted, 0).Seconds() / scales[kind].Seconds())
}

// shape is the maximum likelihood of a kind's shape, with what was believed before.
func (a *Controller) shape(kind Kind) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	l := a.learned[kind]
	shape := (priorCount + l.count) / (priorCount/priorShape + l.logs)
	return min(max(shape, leastShape), mostShape)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
