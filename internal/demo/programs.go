package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/gateway"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Targets of the example configurations.
const (
	targetResults = "results-feed"
	targetBooths  = "booth-lookup"
	targetOrders  = "wholesale-orders"
	targetFlour   = "flour-ledger"
)

const (
	// programsPerKind is the number of programs of each kind.
	programsPerKind = 12
	// arrivalSpan is the time over which programs arrive.
	arrivalSpan = 2 * time.Second
	// toolPause is the maximum duration of a caller's own tool.
	toolPause = 150 * time.Millisecond
	// demoSeed seeds the programs' random choices.
	demoSeed = 2026
	// holdReleaseTimeout limits the wait for engines to release all holds.
	holdReleaseTimeout = 5 * time.Second
)

// errRefused is returned by a program whose call was refused without running.
var errRefused = eris.New("demo: refused")

// kind is one kind of program: who runs it and its steps.
type kind struct {
	key      string
	template string
	model    string
	steps    func(p *programRun) error
}

// kinds are the programs of both users' examples.
func kinds() []kind {
	return []kind{
		{key: "northern-post-demo-key", template: "electorate-summary", model: "newsroom-8b", steps: summarise},
		{key: "harbour-times-demo-key", template: "desk-question", model: "newsroom-32b", steps: answerDesk},
		{key: "northern-post-demo-key", template: "count-update", steps: updateCount},
		{key: "horna-ves-demo-key", template: "bread-order", model: "order-4b", steps: orderBread},
		{key: "pekaren-detva-demo-key", template: "flour-reconciliation", model: "order-14b", steps: reconcileFlour},
	}
}

// programRun is a program in progress.
type programRun struct {
	kind
	ctx     context.Context
	cluster *Cluster
	name    string
	random  *rand.Rand
	// daemon is the next daemon to call; a program may call any daemon.
	daemon   int
	sequence int
	calls    int
	// orders are the requests that must have run exactly once.
	orders   []structs.AttemptID
	messages []openai.ChatCompletionMessageParamUnion
}

// summarise looks up booths a random number of times, while a sub-agent
// examines the special votes.
func summarise(p *programRun) error {
	if err := p.ask("Which electorate is this?", false); err != nil {
		return err
	}
	special := p.child("special")
	failed := make(chan error, 1)
	go func() { failed <- special.ask("Look at the special votes.", true) }()
	for range 1 + p.random.IntN(3) {
		if err := p.ask("Which booth next?", false); err != nil {
			return err
		}
		if err := p.callApplication(targetBooths, "lookup", true); err != nil {
			return err
		}
		p.pause()
	}
	if err := <-failed; err != nil {
		return err
	}
	p.calls += special.calls
	return p.ask("Write the summary.", true)
}

func answerDesk(p *programRun) error {
	for range 1 + p.random.IntN(3) {
		if err := p.ask("What is the swing?", false); err != nil {
			return err
		}
		p.pause()
	}
	return p.ask("And the specials?", true)
}

func updateCount(p *programRun) error {
	for range 3 {
		if err := p.callApplication(targetResults, "count", false); err != nil {
			return err
		}
	}
	return nil
}

func orderBread(p *programRun) error {
	if err := p.ask("Twenty loaves for tomorrow.", false); err != nil {
		return err
	}
	p.pause()
	if err := p.callApplication(targetFlour, "check", true); err != nil {
		return err
	}
	if err := p.callApplication(targetOrders, "order", false); err != nil {
		return err
	}
	return p.ask("Confirm the order.", true)
}

func reconcileFlour(p *programRun) error {
	for range 2 {
		if err := p.callApplication(targetFlour, "allocation", true); err != nil {
			return err
		}
		if err := p.ask("Compare with the orders.", false); err != nil {
			return err
		}
		p.pause()
	}
	return p.ask("List the differences.", true)
}

// child returns a sub-agent of the program.
func (p *programRun) child(name string) *programRun {
	return &programRun{kind: p.kind, ctx: p.ctx, cluster: p.cluster, name: p.name + "/" + name, daemon: p.daemon + 1}
}

func (p *programRun) pause() { time.Sleep(time.Duration(p.random.Int64N(int64(toolPause)))) }

// headers returns the headers of the next call, which goes to another daemon
// than the last.
func (p *programRun) headers(repeatable, end bool) http.Header {
	p.sequence++
	p.calls++
	p.daemon++
	headers := http.Header{}
	headers.Set(gateway.HeaderProgram, p.name)
	headers.Set(gateway.HeaderTemplate, p.template)
	headers.Set(gateway.HeaderSequence, fmt.Sprint(p.sequence))
	headers.Set(gateway.HeaderRequestID, fmt.Sprintf("r%d", p.sequence))
	headers.Set(gateway.HeaderRepeatable, fmt.Sprint(repeatable))
	headers.Set(gateway.HeaderEnd, fmt.Sprint(end))
	return headers
}

func (p *programRun) address() string {
	return p.cluster.HTTPAddresses[p.daemon%len(p.cluster.HTTPAddresses)]
}

// ask makes a model call through OpenAI's client library, streaming.
func (p *programRun) ask(question string, end bool) error {
	p.messages = append(p.messages, openai.UserMessage(question))
	headers := p.headers(true, end)
	options := []option.RequestOption{option.WithBaseURL("http://" + p.address() + "/v1"), option.WithAPIKey(p.key)}
	for name := range headers {
		options = append(options, option.WithHeader(name, headers.Get(name)))
	}
	client := openai.NewClient(options...)
	stream := client.Chat.Completions.NewStreaming(p.ctx, openai.ChatCompletionNewParams{
		Model:               p.model,
		Messages:            p.messages,
		MaxCompletionTokens: openai.Int(32),
	})
	answer, finished := strings.Builder{}, false
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			answer.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
	}
	if err := stream.Err(); err != nil {
		return classify(err)
	}
	if !finished || answer.Len() == 0 {
		return eris.New("demo: the answer is incomplete")
	}
	p.messages = append(p.messages, openai.AssistantMessage(answer.String()))
	return nil
}

func classify(err error) error {
	var answered *openai.Error
	if eris.As(err, &answered) && answered.Type == string(structs.OutcomeNotRun) {
		return eris.Wrap(errRefused, err.Error())
	}
	return err
}

// maxApplicationBytes bounds the answer to an application or tool request.
const maxApplicationBytes = 4 << 20

// applicationClient makes application and tool requests. The program's context bounds each of them.
var applicationClient = httpconn.NewClient(maxApplicationBytes, 0)

// callApplication makes an application or tool request.
func (p *programRun) callApplication(target, operation string, repeatable bool) error {
	headers := p.headers(repeatable, false)
	request, err := sling.New().Post("http://" + p.address() + "/v1/applications/" + target + "/" + operation).
		Body(strings.NewReader(`{"program":"` + p.name + `"}`)).Request()
	if err != nil {
		return eris.Wrap(err, "demo: build request")
	}
	request.Header = headers
	request.Header.Set("Authorization", "Bearer "+p.key)
	response, err := applicationClient.Do(request.WithContext(p.ctx))
	if err != nil {
		return eris.Wrap(err, "demo: call application")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("demo: application answered %s", response.Status)
	}
	if !repeatable {
		p.orders = append(p.orders, p.attempt(headers.Get(gateway.HeaderRequestID)))
	}
	return nil
}

// attempt returns the attempt ID under which back ends know a request.
func (p *programRun) attempt(request string) structs.AttemptID {
	tenant := p.cluster.tenants[gateway.KeyHash(p.key)]
	key := structs.ProgramKey{Tenant: tenant, Program: structs.ProgramID(p.name)}
	return structs.NewAttemptID(key, structs.RequestID(request))
}

// runPrograms runs the programs of all kinds, spread over the daemons, and
// checks what the back ends executed.
func (c *Cluster) runPrograms(ctx context.Context) Result {
	result := Result{Daemons: len(c.Daemons)}
	latencies := newHistogram()
	var mutex sync.Mutex
	var group sync.WaitGroup
	var orders []structs.AttemptID
	for number, kind := range kinds() {
		for i := range programsPerKind {
			result.Programs++
			random := rand.New(rand.NewPCG(demoSeed, uint64(number*programsPerKind+i)))
			p := &programRun{kind: kind, ctx: ctx, cluster: c, name: fmt.Sprintf("%s-%d", kind.template, i), random: random, daemon: i}
			group.Go(func() {
				time.Sleep(time.Duration(random.Int64N(int64(arrivalSpan))))
				began := time.Now()
				err := p.steps(p)
				took := time.Since(began)
				mutex.Lock()
				defer mutex.Unlock()
				result.Calls += p.calls
				orders = append(orders, p.orders...)
				switch {
				case err == nil:
					result.Completed++
					_ = latencies.RecordValue(took.Microseconds())
				case eris.Is(err, errRefused):
					result.Refused++
				default:
					result.Violations++
				}
			})
		}
	}
	group.Wait()
	result.ProgramLatencyP50Seconds = float64(latencies.ValueAtQuantile(50)) / microsecondsPerSecond
	result.ProgramLatencyP95Seconds = float64(latencies.ValueAtQuantile(95)) / microsecondsPerSecond
	result.Violations += c.countWrongRuns(orders) + c.countLeakedHolds(ctx)
	return result
}

// countWrongRuns counts requests that should have run exactly once and did
// not.
func (c *Cluster) countWrongRuns(orders []structs.AttemptID) int {
	wrong := 0
	for _, attempt := range orders {
		runs := 0
		for _, application := range c.Applications {
			runs += application.Runs()[attempt]
		}
		if runs != 1 {
			wrong++
		}
	}
	return wrong
}

// countLeakedHolds counts the holds that engines still have after all programs
// ended and the timeout passed.
func (c *Cluster) countLeakedHolds(ctx context.Context) int {
	deadline := time.Now().Add(holdReleaseTimeout)
	for {
		held := 0
		for _, engine := range c.Engines {
			held += engine.HoldCount()
		}
		if held == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return held
		}
		time.Sleep(50 * time.Millisecond)
	}
}
