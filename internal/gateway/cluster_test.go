package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/demo"
	"github.com/mintpulley/mintpulley/internal/gateway"
	"github.com/mintpulley/mintpulley/internal/outputtest"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	testModel  = "small"
	villageKey = "village-key"
	cityKey    = "city-key"
	testWait   = 20 * time.Second
)

var (
	startOnce sync.Once
	running   *demo.Cluster
	startErr  error
	// logs holds the log output of all daemons.
	logs outputtest.Buffer
)

func TestMain(m *testing.M) {
	code := m.Run()
	if running != nil {
		running.Close()
	}
	os.Exit(code)
}

// cluster returns a cluster of three daemons with stand-in back ends, shared by all
// tests.
func cluster(t *testing.T) *demo.Cluster {
	t.Helper()
	startOnce.Do(func() { running, startErr = startCluster() })
	if startErr != nil {
		t.Fatal(startErr)
	}
	return running
}

func startCluster() (*demo.Cluster, error) {
	c, err := demo.StartCluster(demo.ClusterOptions{
		Models: []structs.ModelName{testModel}, Applications: []string{"wholesale"}, Logger: zerolog.New(&logs),
	})
	if err != nil {
		return nil, err
	}
	if err := c.Publish(testConfiguration()); err != nil {
		return c, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	return c, c.WaitForReadiness(ctx)
}

func testConfiguration() structs.Configuration {
	models := []structs.ModelName{testModel}
	targets := []string{"wholesale", "closed"}
	uses := map[structs.TemplateName]structs.TenantTemplate{"order": {}, "poor": {}, "short": {}, "dull": {}}
	return structs.Configuration{
		Models: map[structs.ModelName]structs.Model{
			testModel: {PromptCost: 1, CompletionCost: 2, ContextTokens: 8192},
			"other":   {PromptCost: 1, CompletionCost: 2, ContextTokens: 8192},
		},
		Templates: map[structs.TemplateName]structs.Template{
			"order": {Models: models, Targets: targets, Budget: 1_000_000, Priority: 5},
			"poor":  {Models: models, Targets: targets, Budget: 10, Priority: 5},
			"short": {Models: models, Targets: targets, Budget: 1_000_000, Priority: 5, Limits: structs.Limits{Turns: 1}},
			"dull":  {Models: models, Targets: targets, Budget: 1_000_000, Priority: 5, Limits: structs.Limits{Repetitions: 1}},
		},
		Tenants: map[structs.TenantName]structs.Tenant{
			"village": {KeyHashes: []string{gateway.KeyHash(villageKey)}, Share: 1, Templates: uses},
			"city":    {KeyHashes: []string{gateway.KeyHash(cityKey)}, Share: 1, Templates: uses},
		},
	}
}

// client returns OpenAI's client library, unmodified, for one daemon. The headers are
// pairs of name and value.
func client(t *testing.T, daemon int, headers ...string) *openai.Client {
	c := cluster(t)
	options := []option.RequestOption{
		option.WithBaseURL("http://" + c.HTTPAddresses[daemon] + "/v1"),
		option.WithAPIKey(villageKey),
		option.WithMaxRetries(0),
		option.WithHeader(gateway.HeaderTemplate, "order"),
	}
	for i := 0; i+1 < len(headers); i += 2 {
		options = append(options, option.WithHeader(headers[i], headers[i+1]))
	}
	api := openai.NewClient(options...)
	return &api
}

func completionParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    testModel,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	t.Cleanup(cancel)
	return ctx
}

// call makes a plain HTTP request and decodes its JSON response.
func call[T any](t *testing.T, daemon int, key, method, path, body string, headers ...string) (int, T) {
	t.Helper()
	r, err := http.NewRequestWithContext(testContext(t), method, "http://"+cluster(t).HTTPAddresses[daemon]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var answer T
	if err := json.Unmarshal(data, &answer); err != nil {
		t.Fatalf("%s %s: %q: %v", method, path, data, err)
	}
	return response.StatusCode, answer
}

// failure is the error object of a response.
type failure struct {
	Error struct {
		Type    string `json:"type"`
		Code    string `json:"code"`
		Param   string `json:"param"`
		Message string `json:"message"`
	} `json:"error"`
}

// programView has the fields of a program that tests read.
type programView struct {
	State        string `json:"state"`
	EndReason    string `json:"end_reason"`
	Spent        int64  `json:"spent"`
	Reserved     int64  `json:"reserved"`
	Turns        int    `json:"turns"`
	OpenCalls    []any  `json:"open_calls"`
	SettledCalls []struct {
		RequestID string `json:"request_id"`
		Sequence  int    `json:"sequence"`
		Status    string `json:"status"`
	} `json:"settled_calls"`
}

// requestView has the fields of a request that tests read.
type requestView struct {
	State      string                 `json:"state"`
	Completion *openai.ChatCompletion `json:"completion"`
	Body       json.RawMessage        `json:"body"`
}

func program(t *testing.T, daemon int, name string) programView {
	t.Helper()
	status, view := call[programView](t, daemon, villageKey, http.MethodGet, "/v1/programs/"+name, "")
	if status != http.StatusOK {
		t.Fatalf("program %s: status %d", name, status)
	}
	return view
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// apiError returns err as OpenAI's API error, and fails the test if it is none.
func apiError(t *testing.T, err error) *openai.Error {
	t.Helper()
	var refused *openai.Error
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want an API error", err)
	}
	return refused
}

// names returns an identifier that no other test uses.
func uniqueName(t *testing.T, suffix string) string {
	return fmt.Sprintf("%s-%s", strings.NewReplacer("/", ".", " ", "-", ",", "").Replace(t.Name()), suffix)
}
