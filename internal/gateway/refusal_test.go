package gateway_test

import (
	"net/http"
	"testing"

	"github.com/mintpulley/mintpulley/internal/gateway"
)

// TestRefusals provokes each refusal that a caller can cause, through OpenAI's client
// library.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		// before are the headers of a preceding call of the program, nil for none.
		before  []string
		headers []string
		model   string
		text    string
		status  int
	}{
		"unknown_template":  {headers: []string{gateway.HeaderTemplate, "nothing"}, status: http.StatusNotFound},
		"unknown_model":     {model: "nothing", status: http.StatusNotFound},
		"model_not_allowed": {model: "other", status: http.StatusForbidden},
		"budget_exhausted":  {headers: []string{gateway.HeaderTemplate, "poor"}, status: http.StatusPaymentRequired},
		"unknown_program":   {headers: []string{gateway.HeaderSequence, "5"}, status: http.StatusNotFound},
		"deadline":          {headers: []string{gateway.HeaderTimeout, "1us"}, status: http.StatusRequestTimeout},
		"invalid_request":   {headers: []string{gateway.HeaderHistory, "none"}, status: http.StatusBadRequest},
		"turn_limit": {
			before:  []string{gateway.HeaderTemplate, "short", gateway.HeaderHistory, "append"},
			headers: []string{gateway.HeaderTemplate, "short", gateway.HeaderHistory, "append"},
			status:  http.StatusTooManyRequests,
		},
		"repetition_limit": {
			before:  []string{gateway.HeaderTemplate, "dull", gateway.HeaderHistory, "append"},
			headers: []string{gateway.HeaderTemplate, "dull", gateway.HeaderHistory, "append"},
			status:  http.StatusTooManyRequests,
		},
		"sequence_conflict": {before: []string{gateway.HeaderSequence, "1"}, headers: []string{gateway.HeaderSequence, "1"}, status: http.StatusConflict},
		"request_conflict": {
			before:  []string{gateway.HeaderRequestID, "r"},
			headers: []string{gateway.HeaderRequestID, "r", gateway.HeaderSequence, "2"},
			status:  http.StatusConflict,
		},
		"history_conflict": {before: []string{gateway.HeaderHistory, "full"}, text: "another conversation", status: http.StatusConflict},
		"program_ended":    {before: []string{gateway.HeaderEnd, "true"}, status: http.StatusConflict},
	}
	for reason, test := range cases {
		t.Run(reason, func(t *testing.T) {
			t.Parallel()
			ctx, named := testContext(t), []string{gateway.HeaderProgram, uniqueName(t, "p")}
			const text = "How many loaves?"
			if test.before != nil {
				if _, err := client(t, 0, append(named, test.before...)...).Chat.Completions.New(ctx, completionParams(text)); err != nil {
					t.Fatal(err)
				}
			}
			params := completionParams(text)
			if test.text != "" {
				params = completionParams(test.text)
			}
			if test.model != "" {
				params.Model = test.model
			}
			_, err := client(t, 1, append(named, test.headers...)...).Chat.Completions.New(ctx, params)
			refused := apiError(t, err)
			if refused.Code != reason || refused.Type != "not_run" || refused.StatusCode != test.status || refused.Message == "" {
				t.Errorf("status %d, %s", refused.StatusCode, refused.RawJSON())
			}
		})
	}
}

func TestApplicationRefusals(t *testing.T) {
	cases := map[string]struct {
		path   string
		status int
	}{
		"tool_not_allowed": {"/v1/applications/unlisted/bread_order", http.StatusForbidden},
		"no_engine":        {"/v1/applications/closed/bread_order", http.StatusServiceUnavailable},
	}
	for reason, test := range cases {
		status, refused := call[failure](t, 0, villageKey, http.MethodPost, test.path, "{}", gateway.HeaderTemplate, "order")
		if status != test.status || refused.Error.Code != reason || refused.Error.Type != "not_run" {
			t.Errorf("%s: status %d, %+v", reason, status, refused)
		}
	}
}

func TestUnknownKeyAndUnknownRoute(t *testing.T) {
	status, refused := call[failure](t, 0, "guess", http.MethodGet, "/v1/models", "")
	if status != http.StatusUnauthorized || refused.Error.Param != "Authorization" {
		t.Errorf("unknown key: status %d, %+v", status, refused)
	}
	status, refused = call[failure](t, 0, villageKey, http.MethodGet, "/v1/embeddings", "")
	if status != http.StatusNotFound || refused.Error.Type != "not_found" {
		t.Errorf("unknown route: status %d, %+v", status, refused)
	}
}

func TestRefusedCallCanBeSentAgainByTheLibrary(t *testing.T) {
	// The library retries automatically with the same headers; the call must run
	// once.
	name := uniqueName(t, "p")
	api := client(t, 0, gateway.HeaderProgram, name, gateway.HeaderRequestID, "r", gateway.HeaderSequence, "1")
	ctx := testContext(t)
	first, err := api.Chat.Completions.New(ctx, completionParams("once"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := api.Chat.Completions.New(ctx, completionParams("once"))
	if err != nil {
		t.Fatal(err)
	}
	if first.Choices[0].Message.Content != second.Choices[0].Message.Content {
		t.Error("the same request got two different answers")
	}
	if view := program(t, 0, name); view.Turns != 1 {
		t.Errorf("the call ran %d times, want 1", view.Turns)
	}
}
