package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// StreamOptions configure the measurement of one daemon's streams.
type StreamOptions struct {
	Address string
	// Engines are called directly, for comparison.
	Engines []string
	Streams int
	// DirectStreams is the number of additional streams directly to an engine.
	DirectStreams int
	// RelayedStreams is the number of additional streams through a plain
	// relay, whose cost is the lower bound for a daemon.
	RelayedStreams int
	// WarmUp is the time before the measurement window begins.
	WarmUp time.Duration
	Window time.Duration
	// AnswerTokens must be large enough for a stream to outlast the window.
	AnswerTokens int64
	// FirstTokenCalls is the number of sequential calls on each path that
	// measure the time to the first token, before the streams start.
	FirstTokenCalls int
}

// StreamResult holds the results of the measurement.
type StreamResult struct {
	Streams       int     `json:"streams"`
	WindowSeconds float64 `json:"window_s"`
	Failed        int64   `json:"failed"`
	// Tokens arrived in Events: a daemon that falls behind merges tokens.
	Tokens int64 `json:"tokens"`
	Events int64 `json:"events"`
	// CPUMicrosecondsPerToken is the daemon's processor time per token, and
	// CPUCores its processor time in cores.
	CPUMicrosecondsPerToken float64 `json:"cpu_us_per_token"`
	CPUCores                float64 `json:"cpu_cores"`
	// CPUMicrosecondsPerEvent is the daemon's processor time per event, and
	// RelayCPUMicrosecondsPerWrite that of a plain relay of the engines' bytes
	// per write in the same window: either is one read and one write.
	// CPUOverRelay is the former divided by the latter.
	CPUMicrosecondsPerEvent      float64 `json:"cpu_us_per_event"`
	RelayCPUMicrosecondsPerWrite float64 `json:"relay_cpu_us_per_write"`
	RelayWrites                  int64   `json:"relay_writes"`
	CPUOverRelay                 float64 `json:"cpu_over_relay"`
	AllocationsPerToken          float64 `json:"allocations_per_token"`
	AllocatedBytesPerToken       float64 `json:"allocated_bytes_per_token"`
	ResidentBytes                float64 `json:"resident_bytes"`
	// The difference between the percentiles of both paths is what a daemon
	// adds.
	FirstTokenDirect           Percentiles `json:"first_token_straight"`
	FirstTokenThroughDaemon    Percentiles `json:"first_token_through"`
	BetweenTokensDirect        Percentiles `json:"between_tokens_straight"`
	BetweenTokensThroughDaemon Percentiles `json:"between_tokens_through"`
	FirstError                 string      `json:"first_error,omitempty"`
}

// streamRun is a measurement in progress.
type streamRun struct {
	options StreamOptions
	caller  *caller
	failed  atomic.Int64
	// measuring is set during the window.
	measuring atomic.Bool
	first     sync.Once
	firstErr  string
}

// streamPath is the address that streams use and what was counted there in the
// window.
type streamPath struct {
	address string
	streams int
	gaps    *histogram
	tokens  atomic.Int64
	events  atomic.Int64
}

// relayUse is a relay's resource use so far.
type relayUse struct {
	processorTime time.Duration
	writes        int64
}

// MeasureStreams keeps many streams open at one daemon and measures its
// resource use.
func MeasureStreams(ctx context.Context, options StreamOptions) (StreamResult, error) {
	r := &streamRun{options: options, caller: newCaller()}
	result := StreamResult{Streams: options.Streams}
	firstStraight, firstThrough := newHistogram(), newHistogram()
	r.measureFirstTokens(ctx, firstStraight, firstThrough)
	plainRelay, err := startRelay(options.Engines)
	if err != nil {
		return result, err
	}
	defer plainRelay.close()
	through := &streamPath{address: options.Address, streams: options.Streams, gaps: newHistogram()}
	straight := &streamPath{address: options.Engines[0], streams: options.DirectStreams, gaps: newHistogram()}
	relayed := &streamPath{address: plainRelay.address(), streams: options.RelayedStreams, gaps: newHistogram()}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	r.startStreams(running, &group, through, straight, relayed)
	sleepUntil(ctx, time.Now().Add(options.WarmUp))
	err = r.window(ctx, &result, through, plainRelay)
	stop()
	group.Wait()
	result.Failed, result.FirstError = r.failed.Load(), r.firstErr
	result.FirstTokenDirect, result.FirstTokenThroughDaemon = firstStraight.times(), firstThrough.times()
	result.BetweenTokensDirect, result.BetweenTokensThroughDaemon = straight.gaps.times(), through.gaps.times()
	return result, err
}

// startStreams runs the streams of all paths until ctx ends.
func (r *streamRun) startStreams(ctx context.Context, group *sync.WaitGroup, ways ...*streamPath) {
	started := 0
	for _, way := range ways {
		for range way.streams {
			number := started
			started++
			group.Go(func() { r.runStream(ctx, way, number) })
		}
	}
}

// window measures the resource use of the daemon and the relay during the
// measurement window.
func (r *streamRun) window(ctx context.Context, result *StreamResult, through *streamPath, plainRelay *relay) error {
	before, err := scrape(ctx, r.options.Address)
	if err != nil {
		return err
	}
	relayBefore := plainRelay.usage()
	r.measuring.Store(true)
	began := time.Now()
	sleepUntil(ctx, began.Add(r.options.Window))
	r.measuring.Store(false)
	elapsed := time.Since(began)
	relayAfter := plainRelay.usage()
	after, err := scrape(ctx, r.options.Address)
	if err != nil {
		return err
	}
	result.setDaemonUsage(through, before, after, elapsed)
	result.setRelayUsage(relayBefore, relayAfter)
	return nil
}

func (s *StreamResult) setDaemonUsage(through *streamPath, before, after processMetrics, elapsed time.Duration) {
	s.Tokens, s.Events = through.tokens.Load(), through.events.Load()
	tokens, events := float64(max(s.Tokens, 1)), float64(max(s.Events, 1))
	used := after.cpuSeconds - before.cpuSeconds
	s.WindowSeconds = elapsed.Seconds()
	s.CPUMicrosecondsPerToken = used * 1e6 / tokens
	s.CPUMicrosecondsPerEvent = used * 1e6 / events
	s.CPUCores = used / elapsed.Seconds()
	s.AllocationsPerToken = (after.allocations - before.allocations) / tokens
	s.AllocatedBytesPerToken = (after.allocatedBytes - before.allocatedBytes) / tokens
	s.ResidentBytes = after.residentBytes
}

// setRelayUsage records the relay's processor time and the ratio of the
// daemon's processor time to it.
func (s *StreamResult) setRelayUsage(before, after relayUse) {
	s.RelayWrites = after.writes - before.writes
	if s.RelayWrites == 0 {
		return
	}
	used := after.processorTime - before.processorTime
	s.RelayCPUMicrosecondsPerWrite = float64(used.Nanoseconds()) / 1e3 / float64(s.RelayWrites)
	s.CPUOverRelay = s.CPUMicrosecondsPerEvent / s.RelayCPUMicrosecondsPerWrite
}

// runStream keeps one stream running until ctx ends.
func (r *streamRun) runStream(ctx context.Context, way *streamPath, number int) {
	unused := newHistogram()
	observeGap := newStreamObserver(unused, way.gaps)
	observe := func(at time.Time, words int64) {
		if !r.measuring.Load() {
			observeGap = newStreamObserver(unused, way.gaps)
			observeGap(at, words)
			return
		}
		way.tokens.Add(words)
		way.events.Add(1)
		observeGap(at, words)
	}
	body := completionBody{
		Messages:  []message{{Role: "user", Content: fmt.Sprintf("Stream %d: write at length.", number)}},
		MaxTokens: r.options.AnswerTokens,
	}
	service := StandInServices(WorkloadTally)[0]
	_, err := r.caller.complete(ctx, "http://"+way.address, service, callHeaders{}, body, observe, false)
	if ctx.Err() != nil {
		return
	}
	r.failed.Add(1)
	r.first.Do(func() {
		r.firstErr = "the stream ended before the window did"
		if err != nil {
			r.firstErr = err.Error()
		}
	})
}

// measureFirstTokens makes calls one at a time, alternating between the engine
// and the daemon, and records the time to the first token.
func (r *streamRun) measureFirstTokens(ctx context.Context, straight, through *histogram) {
	service := StandInServices(WorkloadTally)[0]
	for i := range r.options.FirstTokenCalls {
		for _, way := range []struct {
			address string
			first   *histogram
		}{{r.options.Engines[0], straight}, {r.options.Address, through}} {
			body := completionBody{
				Messages:  []message{{Role: "user", Content: fmt.Sprintf("Call %d: one word.", i)}},
				MaxTokens: 1,
			}
			if _, err := r.caller.complete(ctx, "http://"+way.address, service, callHeaders{}, body, newStreamObserver(way.first, newHistogram()), false); err != nil {
				r.failed.Add(1)
			}
		}
	}
}
