package load

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the workloads.
const (
	WorkloadTally    = "tally"
	WorkloadChlebnet = "chlebnet"
)

// ErrUnknownWorkload is returned for an unknown workload name.
var ErrUnknownWorkload = eris.New("load: unknown workload")

// Service is what a workload's programs call, with the key and template to
// use.
type Service struct {
	Key       string
	Template  string
	Model     string
	Target    string
	Operation string
}

// Program is one program. Its calls are fixed before it begins, so that the
// same seed yields the same programs whatever the fleet does.
type Program struct {
	Service Service
	Turns   []Turn
	// SubAgents run to their end after the first turn, concurrently.
	SubAgents []Program
	// Order ends the program with a request that must run at most once.
	Order bool
}

// Turn is one model call and the tool pause after it.
type Turn struct {
	Question string
	Pause    time.Duration
}

// Shape generates the programs of one workload.
type Shape struct {
	services []Service
	// turnsFrom and turnsTo are the minimum and maximum number of calls of a
	// program.
	turnsFrom, turnsTo int
	// questionWords is the mean length of a question.
	questionWords int
	pause         time.Duration
	// subAgentShare and orderShare are the fractions of programs with
	// sub-agents and with an order.
	subAgentShare, orderShare float64
	// burst is the mean number of programs that arrive at once.
	burst int
}

// ShapeOf returns a workload's shape over services.
func ShapeOf(workload string, services []Service) (Shape, error) {
	switch workload {
	case WorkloadTally:
		return Shape{services: services, turnsFrom: 1, turnsTo: 12, questionWords: 120, pause: 400 * time.Millisecond, subAgentShare: 0.2, burst: 8}, nil
	case WorkloadChlebnet:
		return Shape{services: services, turnsFrom: 1, turnsTo: 4, questionWords: 30, pause: 200 * time.Millisecond, orderShare: 0.6, burst: 1}, nil
	default:
		return Shape{}, eris.Wrapf(ErrUnknownWorkload, "%q", workload)
	}
}

// Program generates the next program.
func (s Shape) Program(random *rand.Rand) Program {
	program := s.programWithoutSubAgents(random)
	if random.Float64() < s.subAgentShare {
		for range 1 + random.IntN(3) {
			agent := s.programWithoutSubAgents(random)
			agent.Service = program.Service
			program.SubAgents = append(program.SubAgents, agent)
		}
	}
	program.Order = program.Service.Target != "" && random.Float64() < s.orderShare
	return program
}

func (s Shape) programWithoutSubAgents(random *rand.Rand) Program {
	program := Program{Service: s.services[random.IntN(len(s.services))]}
	for range s.turnsFrom + random.IntN(s.turnsTo-s.turnsFrom+1) {
		program.Turns = append(program.Turns, Turn{
			Question: question(random, s.questionWords/2+random.IntN(s.questionWords)),
			Pause:    time.Duration(random.ExpFloat64() * float64(s.pause)),
		})
	}
	return program
}

// Arrivals returns the start times of a run's programs, in order, for a mean
// rate per second. Bursts arrive at random times.
func (s Shape) Arrivals(random *rand.Rand, rate float64, duration time.Duration) []time.Duration {
	var arrivals []time.Duration
	meanGap := float64(s.burst) / rate * float64(time.Second)
	for at := time.Duration(random.ExpFloat64() * meanGap); at < duration; at += time.Duration(random.ExpFloat64() * meanGap) {
		for range 1 + random.IntN(2*s.burst-1) {
			arrivals = append(arrivals, at)
		}
	}
	return arrivals
}

// words are the vocabulary of questions; their meaning does not matter.
var words = []string{"booth", "count", "swing", "loaf", "flour", "school", "order", "ward", "special", "canteen", "sack", "rye"}

func question(random *rand.Rand, length int) string {
	text := make([]byte, 0, length*6)
	for range length {
		text = append(text, words[random.IntN(len(words))]...)
		text = append(text, ' ')
	}
	return string(text)
}
