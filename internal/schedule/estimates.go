package schedule

import (
	"container/list"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// trackedTurns is how many turns of a template have their own statistics;
	// later ones share those of the last.
	trackedTurns = 32
	// learningRate is the weight of a new observation in a moving mean.
	learningRate = 0.05
	// initialLearningRate is the least weight of each of the first
	// initialObservations observations.
	initialLearningRate = 0.3
	// initialObservations is how many observations are weighted higher, and
	// from how many pauses on a pause histogram is used.
	initialObservations = 10
	// priorReturnProbability and priorWeight are the prior for the probability
	// that a program makes another call after a turn.
	priorReturnProbability = 0.8
	priorWeight            = 4
	// maximumPrograms bounds the programs whose state is kept between calls.
	maximumPrograms = 1 << 15
	// defaultAnswerTokens is the expected answer length for a template without
	// observations.
	defaultAnswerTokens = 128
	// defaultServiceSeconds is the expected service time without observations.
	defaultServiceSeconds = 1
	// defaultPauseSeconds is the expected pause for a template without
	// observations.
	defaultPauseSeconds = 2
	// unknownPauseSeconds is how long to hold a cache for a template with too
	// few observed pauses.
	unknownPauseSeconds = 30
)

// mean is an exponential moving mean that weights the first observations
// higher.
type mean struct {
	value        float64
	observations int
}

func (m *mean) add(value float64) {
	rate := learningRate
	if m.observations < initialObservations {
		rate = max(initialLearningRate, 1/float64(m.observations+1))
	}
	m.observations++
	m.value += rate * (value - m.value)
}

func (m *mean) valueOr(standard float64) float64 {
	if m.observations == 0 {
		return standard
	}
	return m.value
}

// turnStatistics holds the observations of one turn of a template.
type turnStatistics struct {
	// reached counts the programs that made this call.
	reached        float64
	serviceSeconds mean
	answerTokens   mean
	// remainingTurns and remainingSeconds are derived from this turn and later
	// ones.
	remainingTurns   float64
	remainingSeconds float64
}

// templateStatistics holds the observations of a template's programs, by turn.
type templateStatistics struct {
	turns [trackedTurns]turnStatistics
	// sharedPrefixTokens is the length of the prompt prefix that the template's
	// programs share.
	sharedPrefixTokens mean
	// pause covers the pauses after all turns.
	pause pauseStatistics
	// sinceRefresh counts observations since the derived values were computed.
	sinceRefresh int
}

// refreshAfter is the number of observations after which the derived values are
// recomputed.
const refreshAfter = 32

func turnIndex(turn int) int { return min(max(turn, 1), trackedTurns) - 1 }

// returnProbability returns the probability that a program makes another call
// after a turn.
func (t *templateStatistics) returnProbability(index int) float64 {
	if index == trackedTurns-1 {
		return priorReturnProbability
	}
	here, next := t.turns[index].reached, t.turns[index+1].reached
	probability := (next + priorReturnProbability*priorWeight) / (here + priorWeight)
	return min(probability, 1)
}

// refresh computes the expected remainder after each turn, from the last turn
// to the first.
func (t *templateStatistics) refresh() {
	t.sinceRefresh = 0
	last := &t.turns[trackedTurns-1]
	last.remainingTurns = priorReturnProbability / (1 - priorReturnProbability)
	last.remainingSeconds = (1 + last.remainingTurns) * last.serviceSeconds.valueOr(defaultServiceSeconds)
	for index := trackedTurns - 2; index >= 0; index-- {
		here, next := &t.turns[index], &t.turns[index+1]
		returns := t.returnProbability(index)
		here.remainingTurns = returns * (1 + next.remainingTurns)
		here.remainingSeconds = here.serviceSeconds.valueOr(defaultServiceSeconds) + returns*next.remainingSeconds
	}
}

func (t *templateStatistics) recordObservation() {
	t.sinceRefresh++
	if t.sinceRefresh >= refreshAfter {
		t.refresh()
	}
}

// programState is what the scheduler remembers of a program between its calls.
type programState struct {
	key           structs.ProgramKey
	finishedAt    time.Time
	turn          int
	engine        structs.EngineID
	servedSeconds float64
	position      *list.Element
	// held is the cache that an engine holds for the program over a pause, nil
	// for none.
	held *heldCache
}

// estimates learns from finished calls how programs are likely to continue.
type estimates struct {
	templates map[structs.TemplateName]*templateStatistics
	programs  map[structs.ProgramKey]*programState
	// order lists programs from the least to the most recently seen.
	order *list.List
}

func newEstimates() *estimates {
	return &estimates{
		templates: map[structs.TemplateName]*templateStatistics{},
		programs:  map[structs.ProgramKey]*programState{},
		order:     list.New(),
	}
}

func (e *estimates) template(name structs.TemplateName) *templateStatistics {
	known := e.templates[name]
	if known == nil {
		known = &templateStatistics{}
		known.refresh()
		e.templates[name] = known
	}
	return known
}

// recordArrival learns from a call's arrival and returns its program's state.
func (e *estimates) recordArrival(item *Item, now time.Time) *programState {
	state := e.programs[item.Key]
	if state == nil {
		state = &programState{key: item.Key}
		state.position = e.order.PushBack(state)
		e.programs[item.Key] = state
		e.evictOldest()
	} else {
		e.order.MoveToBack(state.position)
	}
	statistics := e.template(item.Template)
	if item.Turn > state.turn {
		statistics.turns[turnIndex(item.Turn)].reached++
		if state.turn > 0 && !state.finishedAt.IsZero() {
			statistics.pause.add(now.Sub(state.finishedAt).Seconds())
		}
		statistics.recordObservation()
		state.turn = item.Turn
	}
	return state
}

func (e *estimates) evictOldest() {
	for len(e.programs) > maximumPrograms {
		oldest := e.order.Remove(e.order.Front()).(*programState)
		delete(e.programs, oldest.key)
	}
}

// recordFinish learns from a call's end.
func (e *estimates) recordFinish(item *Item, engine structs.EngineID, result Result, now time.Time) {
	statistics := e.template(item.Template)
	turn := &statistics.turns[turnIndex(item.Turn)]
	if result.Started && !result.Failed {
		turn.serviceSeconds.add(result.Duration.Seconds())
		turn.answerTokens.add(float64(result.Usage.CompletionTokens))
		if item.Turn <= 1 {
			statistics.sharedPrefixTokens.add(float64(result.Usage.CachedTokens))
		}
		statistics.recordObservation()
	}
	state := e.programs[item.Key]
	if state == nil {
		return
	}
	if result.ProgramEnded {
		e.forget(state)
		return
	}
	state.finishedAt = now
	state.engine = engine
	state.servedSeconds += result.Duration.Seconds()
}

func (e *estimates) forget(state *programState) {
	e.order.Remove(state.position)
	delete(e.programs, state.key)
}

// outlook returns the forecast for a program at one of its calls.
func (e *estimates) outlook(item *Item) Outlook {
	statistics := e.template(item.Template)
	index := turnIndex(item.Turn)
	turn := &statistics.turns[index]
	outlook := Outlook{
		RemainingTurns:    turn.remainingTurns,
		RemainingSeconds:  turn.remainingSeconds,
		AnswerTokens:      turn.answerTokens.valueOr(defaultAnswerTokens),
		ReturnProbability: statistics.returnProbability(index),
		PauseSeconds:      statistics.pause.mean.valueOr(defaultPauseSeconds),
	}
	if item.MaximumTokens > 0 {
		outlook.AnswerTokens = min(outlook.AnswerTokens, float64(item.MaximumTokens))
	}
	if state := e.programs[item.Key]; state != nil {
		outlook.ServedSeconds = state.servedSeconds
	}
	return outlook
}
