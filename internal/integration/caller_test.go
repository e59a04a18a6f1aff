//go:build integration

package integration

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/gateway"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// caller sends the calls of one program.
type caller struct {
	fleet *fleet
	name  string
}

func (f *fleet) newCaller(name string) *caller { return &caller{fleet: f, name: name} }

// attempt returns the ID under which the application counts a request.
func (c *caller) attempt(request string) structs.AttemptID {
	return structs.NewAttemptID(structs.ProgramKey{Tenant: "bakery", Program: structs.ProgramID(c.name)}, structs.RequestID(request))
}

// refusal is an answer with a status other than 200.
type refusal struct {
	Status  int
	Problem struct {
		Type    structs.OutcomeStatus `json:"type"`
		Code    structs.Reason        `json:"code"`
		Message string                `json:"message"`
	} `json:"error"`
}

// Error implements error.
func (r *refusal) Error() string {
	return fmt.Sprintf("%d %s %s: %s", r.Status, r.Problem.Type, r.Problem.Code, r.Problem.Message)
}

// isRefusedFor reports whether an error is a refusal for a reason.
func isRefusedFor(err error, reason structs.Reason) bool {
	var refused *refusal
	return errors.As(err, &refused) && refused.Problem.Code == reason
}

func (c *caller) post(ctx context.Context, address, path string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	request.Header.Set("Mintpulley-Program", c.name)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

// Outcomes of a failed order: it certainly did not run, or it may have run.
var (
	errNotRun  = errors.New("not run")
	errUnknown = errors.New("outcome unknown")
)

// placeOrder places one order through a daemon. A broken connection leaves the
// outcome unknown.
func (c *caller) placeOrder(m *member, request string, retry bool) error {
	_, err := c.send(m, breadOrder{request: request, loaves: 20, retry: retry})
	return err
}

// breadOrder is one order as sent by its caller.
type breadOrder struct {
	request string
	loaves  int
	// sequence is the call's number in its program; 0 sends no number.
	sequence uint64
	// retry says that the order may have been sent before.
	retry bool
}

// send sends an order to a daemon and returns the application's answer.
func (c *caller) send(m *member, o breadOrder) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	headers := map[string]string{
		gateway.HeaderRequestID:  o.request,
		gateway.HeaderRepeatable: "false",
		gateway.HeaderRetry:      fmt.Sprint(o.retry),
		gateway.HeaderTimeout:    "8s",
	}
	if o.sequence > 0 {
		headers[gateway.HeaderSequence] = fmt.Sprint(o.sequence)
	}
	response, err := c.post(ctx, m.http, "/v1/applications/wholesale/order", fmt.Appendf(nil, `{"loaves":%d}`, o.loaves), headers)
	if err != nil {
		return "", errors.Join(errUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return "", errors.Join(errUnknown, err)
		}
		return string(body), nil
	}
	refused := &refusal{Status: response.StatusCode}
	_ = json.NewDecoder(response.Body).Decode(refused)
	if refused.Problem.Type == structs.OutcomeNotRun {
		return "", errors.Join(errNotRun, refused)
	}
	return "", errors.Join(errUnknown, refused)
}

// retryOrder places an order at one daemon after the other, with the same request
// ID, until it succeeds or the given time is over.
func (c *caller) retryOrder(request string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for try := 0; ; try++ {
		m := c.fleet.members[try%len(c.fleet.members)]
		err := c.placeOrder(m, request, try > 0)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answer is what has been received of a streamed answer.
type answer struct {
	text     string
	finished bool
}

type event struct {
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// streamCompletion streams an answer of the given number of tokens through an
// address and resumes it behind what got has already. It calls onText after each
// event.
func (c *caller) streamCompletion(ctx context.Context, address, request string, tokens int, got *answer, onText func()) error {
	body, _ := json.Marshal(map[string]any{
		"model":                 modelName,
		"stream":                true,
		"max_completion_tokens": tokens,
		"messages":              []map[string]string{{"role": "user", "content": promptText(c.name, tokens)}},
	})
	response, err := c.post(ctx, address, "/v1/chat/completions", body, map[string]string{
		"Mintpulley-Request-Id": request,
		"Mintpulley-Resume-At":  fmt.Sprint(len(got.text)),
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		refused := &refusal{Status: response.StatusCode}
		_ = json.NewDecoder(response.Body).Decode(refused)
		return refused
	}
	return got.read(response, onText)
}

// promptText returns a prompt that tells the stand-in engine how long its answer
// must be.
func promptText(name string, tokens int) string {
	return fmt.Sprintf("Tell me about %s. [[tokens=%d]]", name, tokens)
}

func (a *answer) read(response *http.Response, onText func()) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData || data == "[DONE]" {
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if e.Error != nil {
			return fmt.Errorf("error event in the stream: %s %s", e.Error.Type, e.Error.Message)
		}
		for _, choice := range e.Choices {
			a.text += choice.Delta.Content
			a.finished = a.finished || choice.FinishReason != nil
		}
		if onText != nil {
			onText()
		}
	}
	if !a.finished {
		return errors.Join(errUnknown, scanner.Err())
	}
	return nil
}

// completeDirectly gets the whole answer to the same prompt from an engine, without
// a daemon.
func (c *caller) completeDirectly(tokens int) (string, error) {
	body, _ := json.Marshal(map[string]any{
		"model": modelName, "stream": true, "max_completion_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": promptText(c.name, tokens)}},
	})
	response, err := http.Post("http://"+c.fleet.engines[0]+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var whole answer
	err = whole.read(response, nil)
	return whole.text, err
}
