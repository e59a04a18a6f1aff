package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/gateway"
)

// firstTokenPairs is the number of calls on each path.
const firstTokenPairs = 150

// firstToken holds the time to the first token directly from the engines and
// through the daemons, measured alternately in one run.
type firstToken struct {
	straight *hdrhistogram.Histogram
	through  *hdrhistogram.Histogram
}

// at returns the time that the daemons add at a percentile, in milliseconds.
func (f firstToken) at(percentile float64) float64 {
	added := f.through.ValueAtQuantile(percentile) - f.straight.ValueAtQuantile(percentile)
	return float64(added) / microsecondsPerMillisecond
}

// measureFirstToken makes calls one at a time, so that no queueing is
// measured.
func (c *Cluster) measureFirstToken(ctx context.Context) (firstToken, error) {
	result := firstToken{straight: newHistogram(), through: newHistogram()}
	for i := range firstTokenPairs {
		question := fmt.Sprintf("What is the swing in electorate %d?", i)
		engine := openai.NewClient(option.WithBaseURL("http://"+c.EngineIDs[i%len(c.EngineIDs)]+"/v1"), option.WithAPIKey("unused"))
		if err := timeFirstToken(ctx, &engine, question, result.straight); err != nil {
			return result, eris.Wrap(err, "demo: call to the engine")
		}
		daemon := openai.NewClient(
			option.WithBaseURL("http://"+c.HTTPAddresses[i%len(c.HTTPAddresses)]+"/v1"),
			option.WithAPIKey("harbour-times-demo-key"),
			option.WithHeader(gateway.HeaderTemplate, "desk-question"),
		)
		if err := timeFirstToken(ctx, &daemon, question, result.through); err != nil {
			return result, eris.Wrap(err, "demo: call through the daemon")
		}
	}
	return result, nil
}

func timeFirstToken(ctx context.Context, client *openai.Client, question string, into *hdrhistogram.Histogram) error {
	began := time.Now()
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:               "newsroom-32b",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxCompletionTokens: openai.Int(1),
	})
	seen := false
	for stream.Next() {
		hasText := len(stream.Current().Choices) > 0 && stream.Current().Choices[0].Delta.Content != ""
		if hasText && !seen {
			seen = true
			_ = into.RecordValue(time.Since(began).Microseconds())
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if !seen {
		return eris.New("demo: the stream ended without a token")
	}
	return nil
}
