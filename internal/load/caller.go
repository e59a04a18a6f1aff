package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/gateway"
	"github.com/mintpulley/mintpulley/internal/httpconn"
)

// Errors of calls.
var (
	errRefused = eris.New("load: refused")
	errBroken  = eris.New("load: the stream broke off")
)

const (
	// lineLimit is the maximum size of one event in bytes.
	lineLimit = 1 << 20
)

// caller makes streamed calls. It parses events itself: the client library
// would take more processor time than the daemon under test.
type caller struct{ client *http.Client }

func newCaller() *caller {
	return &caller{client: httpconn.NewStreamClient()}
}

// message is one message of a conversation in the request body.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int64     `json:"max_completion_tokens,omitempty"`
}

// event is the part of a stream event that is decoded.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

var (
	dataPrefix    = []byte("data: ")
	doneEvent     = []byte("data: [DONE]")
	contentMarker = []byte(`"content":"`)
	errorMarker   = []byte(`data: {"error"`)
	wordEnd       = []byte(" ")
)

// observer is called for each event with text, with its arrival time and
// number of words.
type observer func(at time.Time, words int64)

// callHeaders are the header values of one call.
type callHeaders struct {
	program, request, history string
	end                       bool
}

// complete makes one streamed call, and returns the answer's text if wantText
// is set. observe is called for each event with text as it arrives; a stand-in
// engine's tokens are words.
func (c *caller) complete(ctx context.Context, url string, service Service, headers callHeaders, body completionBody, observe observer, wantText bool) (string, error) {
	body.Model, body.Stream = service.Model, true
	encoded, err := json.Marshal(body)
	if err != nil {
		return "", eris.Wrap(err, "load: encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return "", eris.Wrap(err, "load: request")
	}
	setHeaders(request, service, headers)
	response, err := c.client.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "load: call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(io.LimitReader(response.Body, lineLimit))
		return "", eris.Wrapf(errRefused, "status %d: %s", response.StatusCode, answer)
	}
	return readEvents(response.Body, observe, wantText)
}

func setHeaders(request *http.Request, service Service, headers callHeaders) {
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+service.Key)
	for header, value := range map[string]string{
		gateway.HeaderTemplate:  service.Template,
		gateway.HeaderProgram:   headers.program,
		gateway.HeaderRequestID: headers.request,
		gateway.HeaderHistory:   headers.history,
	} {
		if value != "" {
			request.Header.Set(header, value)
		}
	}
	if headers.end {
		request.Header.Set(gateway.HeaderEnd, "true")
	}
}

func readEvents(body io.Reader, observe observer, wantText bool) (string, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineLimit)
	var text []byte
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, doneEvent):
			return string(text), nil
		case bytes.HasPrefix(line, errorMarker):
			return "", eris.Wrapf(errBroken, "%s", line)
		}
		_, content, isText := bytes.Cut(line, contentMarker)
		if !isText {
			continue
		}
		observe(time.Now(), int64(bytes.Count(content, wordEnd)))
		if !wantText {
			continue
		}
		var read event
		if err := json.Unmarshal(bytes.TrimPrefix(line, dataPrefix), &read); err == nil && len(read.Choices) > 0 {
			text = append(text, read.Choices[0].Delta.Content...)
		}
	}
	return "", errBroken
}

// placeOrder makes one application request, which must run at most once.
func (c *caller) placeOrder(ctx context.Context, url string, service Service, headers callHeaders) error {
	target := url + "/v1/applications/" + service.Target + "/" + service.Operation
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(`{"loaves":20}`)))
	if err != nil {
		return eris.Wrap(err, "load: request")
	}
	setHeaders(request, service, headers)
	request.Header.Set(gateway.HeaderRepeatable, "false")
	response, err := c.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "load: order")
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, lineLimit))
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(errRefused, "status %d: %s", response.StatusCode, answer)
	}
	return nil
}
