// Package load generates load on daemons. Arrivals are open-loop: programs
// begin at their times whether or not earlier ones were answered, and latency
// counts from the scheduled start of a program.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a run.
type Options struct {
	// Addresses are the daemons' HTTP addresses, "IP:PORT".
	Addresses []string
	Workload  string
	Services  []Service
	// Rate is the mean arrival rate in programs per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// AnswerTokens limits each answer; 0 leaves the limit to the template.
	AnswerTokens int64
	// KeepProgramsOpen does not end the programs, which then stay waiting for
	// their callers.
	KeepProgramsOpen bool
	// Progress receives a line each second; nil for none.
	Progress io.Writer
}

// Result holds the measurements of a run.
type Result struct {
	Workload  string  `json:"workload"`
	Seed      uint64  `json:"seed"`
	Rate      float64 `json:"rate_programs_per_s"`
	Seconds   float64 `json:"seconds"`
	Programs  int64   `json:"programs"`
	Completed int64   `json:"completed"`
	Refused   int64   `json:"refused"`
	Failed    int64   `json:"failed"`
	Calls     int64   `json:"calls"`
	Tokens    int64   `json:"tokens"`
	// ProgramLatency is the time from a program's scheduled start to its last
	// answer, including tool pauses.
	ProgramLatency Percentiles `json:"program_latency"`
	FirstToken     Percentiles `json:"first_token"`
	BetweenTokens  Percentiles `json:"between_tokens"`
	// LiveHeapBefore and LiveHeapAfter are summed over the daemons, in bytes.
	LiveHeapBefore float64 `json:"live_heap_before_bytes"`
	LiveHeapAfter  float64 `json:"live_heap_after_bytes"`
	// FirstError is the text of the first error.
	FirstError string `json:"first_error,omitempty"`
}

// runner is a run in progress.
type runner struct {
	options   Options
	caller    *caller
	startedAt time.Time

	programs, completed, refused, failed, calls, tokens, running atomic.Int64

	latency, firstToken, betweenTokens *histogram

	errorOnce  sync.Once
	firstError atomic.Pointer[string]
}

// Run runs the programs of a workload and waits for all of them.
func Run(ctx context.Context, options Options) (Result, error) {
	shape, err := ShapeOf(options.Workload, options.Services)
	if err != nil {
		return Result{}, err
	}
	r := &runner{
		options: options, caller: newCaller(),
		latency: newHistogram(), firstToken: newHistogram(), betweenTokens: newHistogram(),
	}
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	arrivals := shape.Arrivals(random, options.Rate, options.Duration)
	heapBefore := liveHeap(ctx, options.Addresses)
	stopProgress := r.showProgress(len(arrivals))
	r.startedAt = time.Now()
	var group sync.WaitGroup
	for number, due := range arrivals {
		program := shape.Program(random)
		if !sleepUntil(ctx, r.startedAt.Add(due)) {
			break
		}
		group.Go(func() { r.runProgram(ctx, program, number, r.startedAt.Add(due)) })
	}
	group.Wait()
	stopProgress()
	result := r.result()
	result.LiveHeapBefore, result.LiveHeapAfter = heapBefore, liveHeap(ctx, options.Addresses)
	return result, nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runProgram makes a program's calls, each at another daemon than the last.
func (r *runner) runProgram(ctx context.Context, program Program, number int, due time.Time) {
	r.programs.Add(1)
	r.running.Add(1)
	defer r.running.Add(-1)
	name := fmt.Sprintf("load-%d-%d-%d", r.options.Seed, r.startedAt.UnixNano(), number)
	err := r.runTurns(ctx, program, name, number)
	switch {
	case err == nil:
		r.completed.Add(1)
		r.latency.record(time.Since(due))
	case eris.Is(err, errRefused):
		r.refused.Add(1)
	default:
		r.failed.Add(1)
	}
	if err != nil {
		r.errorOnce.Do(func() {
			text := err.Error()
			r.firstError.Store(&text)
		})
	}
}

func (r *runner) runTurns(ctx context.Context, program Program, name string, daemon int) error {
	for i, turn := range program.Turns {
		last := i == len(program.Turns)-1 && !program.Order && !r.options.KeepProgramsOpen
		headers := callHeaders{program: name, request: fmt.Sprintf("turn-%d", i), history: "append", end: last}
		body := completionBody{Messages: []message{{Role: "user", Content: turn.Question}}, MaxTokens: r.options.AnswerTokens}
		r.calls.Add(1)
		if _, err := r.caller.complete(ctx, r.url(daemon+i), program.Service, headers, body, r.observe(), false); err != nil {
			return err
		}
		if i == 0 {
			if err := r.runSubAgents(ctx, program, name, daemon); err != nil {
				return err
			}
		}
		if !sleepUntil(ctx, time.Now().Add(turn.Pause)) {
			return ctx.Err()
		}
	}
	if !program.Order {
		return nil
	}
	r.calls.Add(1)
	return r.caller.placeOrder(ctx, r.url(daemon), program.Service, callHeaders{program: name, request: "order", end: !r.options.KeepProgramsOpen})
}

// runSubAgents runs a program's sub-agents concurrently and waits for all.
func (r *runner) runSubAgents(ctx context.Context, program Program, name string, daemon int) error {
	if len(program.SubAgents) == 0 {
		return nil
	}
	failures := make([]error, len(program.SubAgents))
	var group sync.WaitGroup
	for i, agent := range program.SubAgents {
		group.Go(func() { failures[i] = r.runTurns(ctx, agent, fmt.Sprintf("%s/agent-%d", name, i), daemon+i) })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) url(number int) string {
	return "http://" + r.options.Addresses[number%len(r.options.Addresses)]
}

func (r *runner) observe() observer {
	observe := newStreamObserver(r.firstToken, r.betweenTokens)
	return func(at time.Time, words int64) {
		r.tokens.Add(words)
		observe(at, words)
	}
}

// showProgress writes a line each second until the returned function is
// called.
func (r *runner) showProgress(planned int) func() {
	if r.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				_, _ = fmt.Fprintln(r.options.Progress)
				return
			case <-ticker.C:
				_, _ = fmt.Fprintf(r.options.Progress, "\rprograms %d of %d  running %d  completed %d  refused %d  failed %d  p99 %.3f s ",
					r.programs.Load(), planned, r.running.Load(), r.completed.Load(), r.refused.Load(), r.failed.Load(), r.latency.times().P99)
			}
		}
	}()
	return func() { close(done) }
}

func (r *runner) result() Result {
	result := Result{
		Workload:       r.options.Workload,
		Seed:           r.options.Seed,
		Rate:           r.options.Rate,
		Seconds:        time.Since(r.startedAt).Seconds(),
		Programs:       r.programs.Load(),
		Completed:      r.completed.Load(),
		Refused:        r.refused.Load(),
		Failed:         r.failed.Load(),
		Calls:          r.calls.Load(),
		Tokens:         r.tokens.Load(),
		ProgramLatency: r.latency.times(),
		FirstToken:     r.firstToken.times(),
		BetweenTokens:  r.betweenTokens.times(),
	}
	if text := r.firstError.Load(); text != nil {
		result.FirstError = *text
	}
	return result
}
