package openai

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/httpdriver"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// streamBufferBytes is the size of a stream's read buffer.
	streamBufferBytes = 8 << 10
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
	// maximumErrorBytes bounds the part of an error response that is read.
	maximumErrorBytes = 4 << 10
)

// stream implements framework.Stream.
type stream struct{ cancel context.CancelFunc }

// Detach implements framework.Stream. It closes the connection, which does not
// cancel the attempt at the engine.
func (s *stream) Detach() { s.cancel() }

// Start implements framework.EngineDriver.
func (d *driver) Start(request framework.EngineRequest, observer framework.EngineObserver) framework.Stream {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		end := d.run(ctx, request, observer)
		if ctx.Err() == nil {
			observer.End(end)
		}
	}()
	return &stream{cancel: cancel}
}

func (d *driver) run(ctx context.Context, request framework.EngineRequest, observer framework.EngineObserver) framework.AttemptEnd {
	encoded, err := encodeRequest(request)
	if err != nil {
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: err.Error()}
	}
	prepared, err := sling.New().Post(url(request.Engine, PathCompletions)).
		Set("Content-Type", "application/json").Body(bytes.NewReader(encoded)).Request()
	if err != nil {
		return framework.AttemptEnd{Kind: framework.EndRejected, Message: err.Error()}
	}
	response, err := d.streams.Do(prepared.WithContext(ctx))
	if err != nil {
		return httpdriver.EndForSendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return endOfErrorResponse(response)
	}
	return readStream(response.Body, observer)
}

// endOfErrorResponse returns the end of an attempt whose response is not a
// stream.
func endOfErrorResponse(response *http.Response) framework.AttemptEnd {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes)) // a truncated message is still useful
	end := framework.AttemptEnd{Kind: framework.EndFailed, Reason: structs.ReasonBackEnd, Message: string(body)}
	if rejected := response.Header.Get(HeaderRejected); rejected != "" {
		end.Kind = framework.EndRejected
		end.Draining = rejected == RejectedDraining
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		end.RetryAfter = time.Duration(seconds) * time.Second
	}
	return end
}

// readStream passes the chunks of a stream to the observer, in one batch for all
// that are buffered. Only the end marker completes a stream: its usage follows the
// event that finishes the text.
func readStream(body io.Reader, observer framework.EngineObserver) framework.AttemptEnd {
	reader := bufio.NewReaderSize(body, streamBufferBytes)
	parser := &eventParser{end: framework.AttemptEnd{Kind: framework.EndLost, Message: "the stream has no finish reason"}}
	var long []byte
	for {
		line, err := readLine(reader, &long)
		if err != nil {
			flush(observer, parser.takeChunks())
			return framework.AttemptEnd{Kind: framework.EndLost, Message: "the stream broke off: " + err.Error()}
		}
		done, malformed := parser.parseLine(line)
		if malformed != nil {
			flush(observer, parser.takeChunks())
			return framework.AttemptEnd{Kind: framework.EndLost, Message: "malformed event: " + malformed.Error()}
		}
		if done {
			flush(observer, parser.takeChunks())
			return parser.end
		}
		if reader.Buffered() == 0 {
			flush(observer, parser.takeChunks())
		}
	}
}

// errLineTooLong: a line of a stream exceeds maxLineBytes.
var errLineTooLong = eris.New("openai: a line of the stream is too long")

// readLine returns the next line. Lines longer than the reader's buffer are
// assembled in long, which is reused.
func readLine(reader *bufio.Reader, long *[]byte) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !eris.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	*long = append((*long)[:0], line...)
	for eris.Is(err, bufio.ErrBufferFull) {
		line, err = reader.ReadSlice('\n')
		*long = append(*long, line...)
		if len(*long) > maxLineBytes {
			return nil, errLineTooLong
		}
	}
	return *long, err
}

func flush(observer framework.EngineObserver, chunks []structs.Chunk) {
	if len(chunks) > 0 {
		observer.Chunks(chunks)
	}
}
