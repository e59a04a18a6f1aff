package httpconn

import (
	"io"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// firstFinalStatus is the lowest status code of a final response.
	firstFinalStatus = 200
	// rememberedAnswers is how many of the latest requests answered on a connection are remembered.
	rememberedAnswers = 16
	// maxExcessBytes bounds the body of an answer in excess that is read to get at the next answer.
	maxExcessBytes = 64 << 10
	// maxExcessAnswers bounds the answers in excess that are passed over for one request.
	maxExcessAnswers = 4
)

// errExcess: a connection brings more in excess than is passed over.
var errExcess = eris.New("httpconn: too much in excess on the connection")

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
// passes answers in excess over, each of which it reports to onExcess.
func (c *conn) readAnswer(request *http.Request, labels *Labels, onExcess func()) (*http.Response, error) {
	for excess := 0; excess <= maxExcessAnswers; {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < firstFinalStatus {
			continue
		}
		if !c.isExcess(response, labels) {
			return response, nil
		}
		excess++
		onExcess()
		if err := passOver(response); err != nil {
			return nil, err
		}
	}
	return nil, errExcess
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

// isExcess reports whether a response is a second answer to an earlier request on the connection. A
// peer may send one late, where the answer to another request is due.
func (c *conn) isExcess(response *http.Response, labels *Labels) bool {
	if labels == nil {
		return false
	}
	label := labels.Of(response)
	return label != labels.Request && slices.Contains(c.answered, label)
}

// passOver reads an answer in excess to its end.
func passOver(response *http.Response) error {
	defer func() { _ = response.Body.Close() }() // it was read to its end, or the connection is closed
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxExcessBytes+1))
	if err != nil {
		return err
	}
	if read > maxExcessBytes || response.Close {
		return errExcess
	}
	return nil
}
