package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// ErrUnknownWorkload is returned for an unknown workload name.
var ErrUnknownWorkload = eris.New("workload: unknown workload")

// Shape is one user's workload.
type Shape struct {
	Name string
	// Zones and Engines are the zones and the number of engines of the fleet
	// for agent models.
	Zones   []structs.ZoneName
	Engines int
	// Model is the model that its programs call.
	Model structs.ModelName
	// ZoneDelaySeconds is the one-way delay between zones, ClientDelaySeconds
	// that to callers.
	ZoneDelaySeconds   float64
	ClientDelaySeconds float64
	// CacheWeight is the value that the user's operators would set.
	CacheWeight float64
	tenants     []weighted[structs.TenantName]
	templates   []template
	// intensity returns the arrival rate over time, relative to its mean.
	intensity func(random *rand.Rand, duration float64) func(at float64) float64
	peak      float64
}

// weighted is a choice with its weight.
type weighted[T any] struct {
	value  T
	weight float64
}

// template is one kind of program.
type template struct {
	name   structs.TemplateName
	weight float64
	// prefixTokens is the length of the system prompt that its programs share.
	prefixTokens   int64
	priority       int
	turns          func(*rand.Rand) int
	firstInput     lengthRange
	followingInput lengthRange
	stepAnswer     lengthRange
	finalAnswer    lengthRange
	pause          pauseDistribution
	// spawnProbability is the probability that a turn spawns sub-agents.
	spawnProbability float64
	child            *template
}

// lengthRange is a range of lengths in tokens with a right-skewed
// distribution.
type lengthRange struct{ low, high int64 }

func (t lengthRange) draw(random *rand.Rand) int64 {
	// Squaring the uniform number makes short lengths more frequent.
	u := random.Float64()
	return t.low + int64(float64(t.high-t.low)*u*u)
}

// pauseDistribution is a log-normal distribution with a Pareto tail, in
// seconds.
type pauseDistribution struct {
	median, sigma float64
	// tail is the probability of a value from the tail, which ranges from
	// tailFrom to tailTo.
	tail, tailFrom, tailTo float64
}

// tailIndex is the exponent of the Pareto tail: without its upper bound, the
// mean is finite and the variance infinite.
const tailIndex = 1.2

func (p pauseDistribution) draw(random *rand.Rand) float64 {
	if random.Float64() < p.tail {
		return min(p.tailFrom*math.Pow(1-random.Float64(), -1/tailIndex), p.tailTo)
	}
	return p.median * math.Exp(p.sigma*random.NormFloat64())
}

// Shapes returns all workloads.
func Shapes() []Shape { return []Shape{tally(), chlebnet()} }

// ByName returns a workload, or ErrUnknownWorkload.
func ByName(name string) (Shape, error) {
	for _, shape := range Shapes() {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, eris.Wrapf(ErrUnknownWorkload, "%q (known: tally, chlebnet)", name)
}

// Random number streams. Programs and arrival times use separate streams, so
// that the same programs are generated at any rate.
const (
	programStream = 1
	arrivalStream = 2
)

// Generate generates the programs that arrive within a duration, in seconds.
func (s *Shape) Generate(seed uint64, rate, duration float64) Trace {
	trace := Trace{Workload: s.Name, Seed: seed, Rate: rate}
	arrivals := s.arrivals(rand.New(rand.NewPCG(seed, arrivalStream)), rate, duration)
	random := rand.New(rand.NewPCG(seed, programStream))
	for number, at := range arrivals {
		program := s.program(random, number)
		program.ArrivalSeconds = at
		trace.Programs = append(trace.Programs, program)
	}
	return trace
}

// Sample generates programs without arrival times, for computing their mean.
func (s *Shape) Sample(seed uint64, count int) []Program {
	random := rand.New(rand.NewPCG(seed, programStream))
	programs := make([]Program, count)
	for number := range programs {
		programs[number] = s.program(random, number)
	}
	return programs
}

// arrivals samples an inhomogeneous Poisson process by thinning.
func (s *Shape) arrivals(random *rand.Rand, rate, duration float64) []float64 {
	intensity := s.intensity(random, duration)
	var times []float64
	for at := 0.0; ; {
		at += random.ExpFloat64() / (rate * s.peak)
		if at >= duration {
			return times
		}
		if random.Float64()*s.peak < intensity(at) {
			times = append(times, at)
		}
	}
}

func (s *Shape) program(random *rand.Rand, number int) Program {
	chosen := pickWeighted(random, s.templates, func(t template) float64 { return t.weight })
	tenant := pickWeighted(random, s.tenants, func(t weighted[structs.TenantName]) float64 { return t.weight })
	return chosen.program(random, structs.ProgramID(fmt.Sprintf("%s-%05d", chosen.name, number)), tenant.value)
}

func (t *template) program(random *rand.Rand, id structs.ProgramID, tenant structs.TenantName) Program {
	program := Program{ID: id, Tenant: tenant, Template: t.name}
	count := t.turns(random)
	for number := range count {
		program.Turns = append(program.Turns, t.turn(random, &program, number, number == count-1))
	}
	return program
}

func (t *template) turn(random *rand.Rand, program *Program, number int, last bool) Turn {
	turn := Turn{InputTokens: t.followingInput.draw(random), AnswerTokens: t.stepAnswer.draw(random)}
	if number == 0 {
		turn.InputTokens = t.firstInput.draw(random)
	}
	if last {
		turn.AnswerTokens = t.finalAnswer.draw(random)
		return turn
	}
	turn.PauseSeconds = t.pause.draw(random)
	if t.child != nil && random.Float64() < t.spawnProbability {
		turn.SubAgents = t.children(random, program, number)
	}
	return turn
}

// maximumSubAgents limits the sub-agents that one turn spawns.
const maximumSubAgents = 3

func (t *template) children(random *rand.Rand, parent *Program, number int) []Program {
	children := make([]Program, 1+random.IntN(maximumSubAgents))
	for i := range children {
		id := structs.ProgramID(fmt.Sprintf("%s/agent-%d-%d", parent.ID, number, i))
		children[i] = t.child.program(random, id, parent.Tenant)
	}
	return children
}

func pickWeighted[T any](random *rand.Rand, choices []T, weight func(T) float64) T {
	total := 0.0
	for _, choice := range choices {
		total += weight(choice)
	}
	at := random.Float64() * total
	for _, choice := range choices {
		at -= weight(choice)
		if at < 0 {
			return choice
		}
	}
	return choices[len(choices)-1]
}

// burstTimes generates the start times of bursts.
func burstTimes(random *rand.Rand, meanGap, duration float64) []float64 {
	var starts []float64
	for at := random.ExpFloat64() * meanGap; at < duration; at += random.ExpFloat64() * meanGap {
		starts = append(starts, at)
	}
	slices.Sort(starts)
	return starts
}
