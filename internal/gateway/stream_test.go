package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"github.com/openai/openai-go/v3"

	"github.com/mintpulley/mintpulley/internal/gateway"
)

func TestStreamMatchesRecordedAnswer(t *testing.T) {
	ctx, name := testContext(t), uniqueName(t, "p")
	params := completionParams("Write a summary.")
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client(t, 0, gateway.HeaderProgram, name, gateway.HeaderRequestID, "r").Chat.Completions.NewStreaming(ctx, params)
	accumulator, chunks := openai.ChatCompletionAccumulator{}, 0
	for stream.Next() {
		accumulator.AddChunk(stream.Current())
		chunks++
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	recorded := request(t, name, "r").Completion
	if got := accumulator.Choices[0].Message.Content; got == "" || got != recorded.Choices[0].Message.Content {
		t.Errorf("streamed %q, recorded %q", got, recorded.Choices[0].Message.Content)
	}
	if accumulator.Usage.TotalTokens != recorded.Usage.TotalTokens || accumulator.Choices[0].FinishReason != "stop" {
		t.Errorf("usage %+v, finish %q", accumulator.Usage, accumulator.Choices[0].FinishReason)
	}
	if chunks < 5 {
		t.Errorf("the answer came in %d chunks", chunks)
	}
}

// TestBrokenStreamResumesAtAnotherDaemon breaks a stream several times and resumes it
// each time at the next daemon by its offset.
func TestBrokenStreamResumesAtAnotherDaemon(t *testing.T) {
	name, text := uniqueName(t, "p"), ""
	for broken := range 4 {
		ctx, leave := context.WithCancel(testContext(t))
		headers := []string{gateway.HeaderProgram, name, gateway.HeaderRequestID, "r", gateway.HeaderResumeAt, strconv.Itoa(len(text))}
		stream := client(t, broken%3, headers...).Chat.Completions.NewStreaming(ctx, completionParams("Write a long summary."))
		for pieces := 0; stream.Next(); pieces++ {
			if choices := stream.Current().Choices; len(choices) > 0 {
				text += choices[0].Delta.Content
			}
			if pieces == 3 && broken < 3 {
				break
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		leave()
	}
	if recorded := request(t, name, "r").Completion.Choices[0].Message.Content; text != recorded {
		t.Errorf("pieces joined\n%q\nwant\n%q", text, recorded)
	}
}

func TestCallWithoutRequestIDIsCancelledWhenItsCallerLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(testContext(t))
	name := uniqueName(t, "p")
	stream := client(t, 0, gateway.HeaderProgram, name).Chat.Completions.NewStreaming(ctx, completionParams("Never mind."))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	leave()
	eventually(t, "the end of the call", func() bool {
		settled := program(t, 0, name).SettledCalls
		return len(settled) == 1 && settled[0].Status == "cancelled"
	})
}

func TestCallIsCancelledOnRequest(t *testing.T) {
	ctx, name := testContext(t), uniqueName(t, "p")
	stream := client(t, 0, gateway.HeaderProgram, name, gateway.HeaderRequestID, "r").Chat.Completions.NewStreaming(ctx, completionParams("Stop this."))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	status, _ := call[requestView](t, 1, villageKey, http.MethodDelete, "/v1/requests?request=r&program="+name, "")
	if status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for stream.Next() {
		continue
	}
	if stream.Err() == nil {
		t.Error("the cancelled stream ended as if it were whole")
	}
	if got := request(t, name, "r").State; got != "cancelled" {
		t.Errorf("state %q", got)
	}
}
