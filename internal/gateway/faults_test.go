package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/demo"
	"github.com/mintpulley/mintpulley/internal/gateway"
	"github.com/mintpulley/mintpulley/internal/settings"
	"github.com/mintpulley/mintpulley/internal/standin/application"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/standin/engine"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// faultyFleet is a fleet of its own into which a test injects faults.
type faultyFleet struct {
	*testing.T
	*demo.Cluster
}

// startFaultyFleet starts a fleet without a configuration.
func startFaultyFleet(t *testing.T, adjust func(*settings.Settings)) faultyFleet {
	t.Helper()
	c, err := demo.StartCluster(demo.ClusterOptions{
		Models: []structs.ModelName{testModel}, Applications: []string{"wholesale"}, Logger: zerolog.Nop(), AdjustSettings: adjust,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, d := range c.Daemons {
			d.Kill()
		}
		c.Close()
	})
	return faultyFleet{t, c}
}

// configure publishes the configuration and waits until all daemons are ready.
func (f faultyFleet) configure() {
	f.Helper()
	if err := f.Publish(faultyFleetConfiguration()); err != nil {
		f.Fatal(err)
	}
	if err := f.WaitForReadiness(testContext(f.T)); err != nil {
		f.Fatal(err)
	}
}

// shortTimeouts shortens the timeouts after which calls to hanging back ends are
// refused.
func shortTimeouts(config *settings.Settings) {
	config.Limits.MaxQueuedCalls = 1
	config.Limits.UnknownAfter = 200 * time.Millisecond
	config.Limits.StallAfter = 400 * time.Millisecond
	config.Applications.Timeout = 200 * time.Millisecond
}

// faultyFleetConfiguration has a tenant with one program at a time, and a template
// whose programs may run for 50 ms only.
func faultyFleetConfiguration() structs.Configuration {
	configured := testConfiguration()
	order := configured.Templates["order"]
	order.Limits.WallTime = 50 * time.Millisecond
	configured.Templates["brief"] = order
	village := configured.Tenants["village"]
	village.Templates = map[structs.TemplateName]structs.TenantTemplate{"order": {}, "brief": {}}
	configured.Tenants["village"] = village
	city := configured.Tenants["city"]
	city.Programs = 1
	configured.Tenants["city"] = city
	return configured
}

// chat makes one completion through OpenAI's client library.
func (f faultyFleet) chat(ctx context.Context, daemon int, key string, headers ...string) error {
	options := []option.RequestOption{
		option.WithBaseURL("http://" + f.HTTPAddresses[daemon] + "/v1"), option.WithAPIKey(key), option.WithMaxRetries(0),
		option.WithHeader(gateway.HeaderTemplate, "order"),
	}
	for i := 0; i+1 < len(headers); i += 2 {
		options = append(options, option.WithHeader(headers[i], headers[i+1]))
	}
	api := openai.NewClient(options...)
	_, err := api.Chat.Completions.New(ctx, completionParams("How many loaves?"))
	return err
}

// order makes one bread order through OpenAI's client library.
func (f faultyFleet) order(daemon int, request string, repeatable bool, headers ...string) error {
	options := []option.RequestOption{
		option.WithHeader(gateway.HeaderTemplate, "order"), option.WithHeader(gateway.HeaderProgram, "p-"+request),
		option.WithHeader(gateway.HeaderRequestID, request), option.WithHeader(gateway.HeaderRepeatable, fmt.Sprint(repeatable)),
	}
	for i := 0; i+1 < len(headers); i += 2 {
		options = append(options, option.WithHeader(headers[i], headers[i+1]))
	}
	api := openai.NewClient(option.WithBaseURL("http://"+f.HTTPAddresses[daemon]+"/v1"), option.WithAPIKey(villageKey), option.WithMaxRetries(0))
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	var answer any
	return api.Post(ctx, "applications/wholesale/bread_order", map[string]int{"loaves": 3}, &answer, options...)
}

// want checks an error against the type, reason and status of a refusal.
func (f faultyFleet) want(err error, kind structs.OutcomeStatus, reason structs.Reason, status int) {
	f.Helper()
	refused := apiError(f.T, err)
	if refused.Type != string(kind) || refused.Code != string(reason) || refused.StatusCode != status || refused.Message == "" {
		f.Errorf("want %d %s %s, got status %d, %s", status, kind, reason, refused.StatusCode, refused.RawJSON())
	}
}

// refusedWith reports whether an error is a refusal for a reason.
func refusedWith(err error, reason structs.Reason) bool {
	var refused *openai.Error
	return errors.As(err, &refused) && refused.Code == string(reason)
}

// TestRefusalsOfAFaultyFleet provokes the refusals that faults cause, through OpenAI's
// client library. Its steps add faults to one fleet.
func TestRefusalsOfAFaultyFleet(t *testing.T) {
	t.Parallel()
	f := startFaultyFleet(t, shortTimeouts)
	f.withoutConfiguration()
	f.configure()
	f.tenantQuota()
	f.timeLimit()
	f.backEndErrors()
	f.hangingBackEnd()
	f.fullQueue()
	f.stopping()
	f.withoutMajority()
}

// TestFullMemoryIsReportedToCallers has a memory limit of one program per daemon.
func TestFullMemoryIsReportedToCallers(t *testing.T) {
	t.Parallel()
	f := startFaultyFleet(t, func(config *settings.Settings) { config.Memory.NewPrograms = 1 })
	f.configure()
	ctx := testContext(t)
	if err := f.chat(ctx, 0, villageKey, gateway.HeaderProgram, "first"); err != nil {
		t.Fatal(err)
	}
	f.want(f.chat(ctx, 1, villageKey, gateway.HeaderProgram, "second"), structs.OutcomeNotRun, structs.ReasonMemoryFull, http.StatusServiceUnavailable)
}

// archived reports whether each shard has an archive in the log.
func (f faultyFleet) archived() bool {
	count := 0
	for name := range f.Log.Lengths() {
		if strings.HasPrefix(string(name), "snapshots-") {
			count++
		}
	}
	return count == settings.Default().Shards
}

// TestLossOfAllReplicasIsReportedToCallers restarts the whole fleet once its shards
// are archived.
func TestLossOfAllReplicasIsReportedToCallers(t *testing.T) {
	t.Parallel()
	f := startFaultyFleet(t, nil)
	f.configure()
	kept := []string{gateway.HeaderProgram, "kept", gateway.HeaderHistory, "append"}
	if err := f.chat(testContext(t), 0, villageKey, kept...); err != nil {
		t.Fatal(err)
	}
	eventually(t, "an archive of each shard", f.archived)
	if err := f.RestartAll(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a refusal for a program that may be lost", func() bool {
		return refusedWith(f.chat(testContext(t), 0, villageKey, gateway.HeaderProgram, "other"), structs.ReasonRecordsLost)
	})
	eventually(t, "a refusal for a gap", func() bool {
		return refusedWith(f.chat(testContext(t), 0, villageKey, kept...), structs.ReasonHistoryGap)
	})
	f.want(f.chat(testContext(t), 1, villageKey, gateway.HeaderProgram, "other"), structs.OutcomeNotRun, structs.ReasonRecordsLost, http.StatusServiceUnavailable)
	f.want(f.chat(testContext(t), 1, villageKey, kept...), structs.OutcomeNotRun, structs.ReasonHistoryGap, http.StatusConflict)
}

func (f faultyFleet) withoutConfiguration() {
	ctx := testContext(f.T)
	f.want(f.chat(ctx, 0, villageKey), structs.OutcomeNotRun, structs.ReasonNoConfiguration, http.StatusServiceUnavailable)
	again := []string{gateway.HeaderProgram, "p", gateway.HeaderRequestID, "r", gateway.HeaderRetry, "true"}
	f.want(f.chat(ctx, 0, villageKey, again...), structs.OutcomeUnknown, structs.ReasonNoConfiguration, http.StatusGatewayTimeout)
	response, err := http.Get("http://" + f.HTTPAddresses[0] + "/readyz")
	if err != nil {
		f.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		f.Errorf("ready without a configuration: status %d", response.StatusCode)
	}
}

func (f faultyFleet) tenantQuota() {
	ctx := testContext(f.T)
	if err := f.chat(ctx, 0, cityKey, gateway.HeaderProgram, "first"); err != nil {
		f.Fatal(err)
	}
	f.want(f.chat(ctx, 1, cityKey, gateway.HeaderProgram, "second"), structs.OutcomeNotRun, structs.ReasonTenantQuota, http.StatusTooManyRequests)
}

// timeLimit makes a call after the program's wall time. If the leader has already
// ended the program, it tries another program.
func (f faultyFleet) timeLimit() {
	ctx, count := testContext(f.T), 0
	eventually(f.T, "a call past its program's time", func() bool {
		count++
		named := []string{gateway.HeaderProgram, fmt.Sprintf("brief-%d", count), gateway.HeaderTemplate, "brief", gateway.HeaderHistory, "append"}
		if err := f.chat(ctx, 0, villageKey, named...); err != nil {
			return false
		}
		time.Sleep(60 * time.Millisecond)
		err := f.chat(ctx, 0, villageKey, named...)
		if refusedWith(err, structs.ReasonProgramEnded) && strings.Contains(apiError(f.T, err).Message, string(structs.ReasonTimeLimit)) {
			return false
		}
		f.want(err, structs.OutcomeNotRun, structs.ReasonTimeLimit, http.StatusTooManyRequests)
		return true
	})
}

func (f faultyFleet) backEndErrors() {
	app := f.Applications["wholesale"]
	_ = app.Faults.Set(application.Faults{Fail: 1})
	f.want(f.order(0, "fails", true), structs.OutcomeFailed, structs.ReasonBackEnd, http.StatusBadGateway)
	_ = app.Faults.Set(application.Faults{})
}

// hangingBackEnd lets an application accept operations without completing them.
func (f faultyFleet) hangingBackEnd() {
	hangs := application.Faults{ServiceFaults: control.ServiceFaults{Delay: control.Duration(3 * time.Second)}}
	app := f.Applications["wholesale"]
	_ = app.Faults.Set(hangs)
	f.want(f.order(0, "hangs-once", false), structs.OutcomeUnknown, structs.ReasonConnectionLost, http.StatusGatewayTimeout)
	f.want(f.order(1, "hangs-again", true), structs.OutcomeUnknown, structs.ReasonConnectionLost, http.StatusGatewayTimeout)
	// A retry reports the outcome.
	var err error
	eventually(f.T, "the end of a stalled call", func() bool {
		err = f.order(1, "hangs-again", true, gateway.HeaderRetry, "true")
		return !refusedWith(err, structs.ReasonConnectionLost)
	})
	f.want(err, structs.OutcomeFailed, structs.ReasonStalled, http.StatusServiceUnavailable)
	_ = app.Faults.Set(application.Faults{})
}

// fullQueue lets the engines accept nothing, so that the queues of one call fill up.
func (f faultyFleet) fullQueue() {
	for _, e := range f.Engines {
		_ = e.Faults.Set(engine.Faults{Draining: true})
	}
	ctx, cancel := context.WithCancel(testContext(f.T))
	defer cancel()
	ended, count := make(chan error, 1000), 0
	eventually(f.T, "a full queue", func() bool {
		count++
		name := fmt.Sprintf("queue-%d", count)
		go func() {
			ended <- f.chat(ctx, 0, villageKey, gateway.HeaderProgram, name, gateway.HeaderRequestID, "r")
		}()
		select {
		case err := <-ended:
			f.want(err, structs.OutcomeNotRun, structs.ReasonOverloaded, http.StatusServiceUnavailable)
			return true
		case <-time.After(20 * time.Millisecond):
			return false
		}
	})
	f.cancelWaiting(count, ended)
}

// cancelWaiting cancels queued calls until the cancellation of one is reported to its
// caller.
func (f faultyFleet) cancelWaiting(count int, ended <-chan error) {
	for i := range count {
		path := fmt.Sprintf("/v1/requests?request=r&program=queue-%d", i+1)
		r, _ := http.NewRequest(http.MethodDelete, "http://"+f.HTTPAddresses[1]+path, nil)
		r.Header.Set("Authorization", "Bearer "+villageKey)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			f.Fatal(err)
		}
		_ = response.Body.Close()
	}
	for {
		select {
		case err := <-ended:
			if refusedWith(err, structs.ReasonOverloaded) {
				continue
			}
			f.want(err, structs.OutcomeNotRun, structs.ReasonCancelled, http.StatusConflict)
			return
		case <-time.After(testWait):
			f.Fatal("no cancelled call was answered")
		}
	}
}

// stopping shuts one daemon down while it answers a call.
func (f faultyFleet) stopping() {
	slow := application.Faults{AnswerDelay: control.Duration(150 * time.Millisecond)}
	_ = f.Applications["wholesale"].Faults.Set(slow)
	answered := make(chan error, 1)
	go func() { answered <- f.order(2, "in-flight", true) }()
	eventually(f.T, "the order under way", func() bool { return f.Daemons[2].Node.Submitter.Pending() > 0 })
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		stopped <- f.Daemons[2].Stop(ctx)
	}()
	eventually(f.T, "the planned stop", f.Daemons[2].Node.Leaving)
	f.want(f.order(2, "too-late", true), structs.OutcomeNotRun, structs.ReasonStopping, http.StatusServiceUnavailable)
	if err := <-answered; err != nil {
		f.Errorf("the call in flight: %v", err)
	}
	if err := <-stopped; err != nil {
		f.Errorf("stop: %v", err)
	}
	_ = f.Applications["wholesale"].Faults.Set(application.Faults{})
}

// withoutMajority kills one of the two remaining daemons.
func (f faultyFleet) withoutMajority() {
	f.Daemons[1].Kill()
	count := 0
	eventually(f.T, "a refusal for want of a majority", func() bool {
		count++
		err := f.order(0, fmt.Sprintf("alone-%d", count), false, gateway.HeaderTimeout, "5s")
		if !refusedWith(err, structs.ReasonNoMajority) {
			return false
		}
		var refused *openai.Error
		return errors.As(err, &refused) && refused.Type == string(structs.OutcomeNotRun) && refused.StatusCode == http.StatusServiceUnavailable
	})
	eventually(f.T, "a daemon without leaders is not ready", func() bool { return !f.Daemons[0].Node.Readiness().Ready })
}
