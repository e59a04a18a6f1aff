package httpconn

import (
	"io"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// rememberedAnswers is how many of the latest requests answered on a connection are remembered.
	rememberedAnswers = 16
	// maxDuplicateBytes bounds the body of a duplicate answer that is read to get at the next answer.
	maxDuplicateBytes = 64 << 10
	// maxDuplicates bounds the duplicate answers that are skipped for one request.
	maxDuplicates = 4
)

// errDuplicates: a connection brings more duplicate answers, or longer ones, than are skipped.
var errDuplicates = eris.New("httpconn: too many or too long duplicate answers on the connection")

// Labels tells which request an answer belongs to, where answers carry that.
type Labels struct {
	// Request labels the request.
	Request string
	// Of returns the label of an answer, "" if it has none.
	Of func(response *http.Response) string
}

// ofQuestion returns the labels for a question to a peer, whose answer has none.
func (l *Labels) ofQuestion() *Labels {
	if l == nil {
		return nil
	}
	return &Labels{Of: l.Of}
}

// readAnswer reads the head of the answer to a request. It skips informational responses (1xx) and
// duplicate answers, each of which it reports to onDuplicate.
func (c *conn) readAnswer(request *http.Request, labels *Labels, onDuplicate func()) (*http.Response, error) {
	c.heads.beginHeads()
	for duplicates := 0; duplicates <= maxDuplicates; {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < firstFinalStatus {
			continue
		}
		if !c.isDuplicate(response, labels) {
			return response, nil
		}
		duplicates++
		onDuplicate()
		if err := discardDuplicate(response); err != nil {
			return nil, err
		}
	}
	return nil, errDuplicates
}

// readHead reads and checks the head of one response.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail: it is buffered
	c.heads.beginHead(buffered)
	defer c.heads.releaseHead()
	response, err := http.ReadResponse(c.reader, request)
	switch {
	case err != nil && c.heads.hasFailed:
		return nil, err
	case err != nil:
		return nil, eris.Wrap(ErrMalformedHead, err.Error())
	}
	if err := checkHead(c.heads.endHead(c.reader)); err != nil {
		return nil, err
	}
	return response, nil
}

// noteAnswered remembers that a request was answered whole on the connection.
func (c *conn) noteAnswered(label string) {
	if label == "" {
		return
	}
	if len(c.answered) == rememberedAnswers {
		c.answered = slices.Delete(c.answered, 0, 1)
	}
	c.answered = append(c.answered, label)
}

// isDuplicate reports whether a response is a second answer to an earlier request on the connection. A
// peer may send one late, where the answer to another request is due.
func (c *conn) isDuplicate(response *http.Response, labels *Labels) bool {
	if labels == nil {
		return false
	}
	label := labels.Of(response)
	return label != labels.Request && c.hasAnswered(label)
}

// hasAnswered reports whether the request with a label is one of the latest that were answered.
func (c *conn) hasAnswered(label string) bool { return slices.Contains(c.answered, label) }

// discardDuplicate reads a duplicate answer to its end.
func discardDuplicate(response *http.Response) error {
	defer func() { _ = response.Body.Close() }() // it was read to its end, or the connection is closed
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDuplicateBytes+1))
	if err != nil {
		return err
	}
	if read > maxDuplicateBytes || response.Close {
		return errDuplicates
	}
	return nil
}
