package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// ErrUnreachable is returned when none of the addressed daemons answered.
var ErrUnreachable = eris.New("operator: no daemon answered")

const (
	// clientTimeout bounds one request, including the publication of a change.
	clientTimeout = 30 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
)

// RequestError is an error response of a daemon.
type RequestError struct {
	Status int
	Detail ErrorDetail
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Detail.Message == "" {
		return http.StatusText(e.Status)
	}
	return e.Detail.Message
}

// Client calls the operator API of daemons. It tries the next daemon when one does not
// answer, which is safe for publications, too, since an operation is applied once.
type Client struct {
	addresses []string
	key       string
	http      *http.Client
}

// NewClient returns a client of the daemons at these HTTP addresses.
func NewClient(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: httpconn.NewClient(maxAnswerBytes, clientTimeout)}
}

// At returns a client of another daemon, with its own timeout.
func (c *Client) At(address string, timeout time.Duration) *Client {
	return &Client{addresses: []string{address}, key: c.key, http: httpconn.NewClient(maxAnswerBytes, timeout)}
}

// do sends a request to one daemon after another until one answers.
func (c *Client) do(prepare func(*sling.Sling) *sling.Sling, target any) error {
	last := eris.Wrap(ErrUnreachable, "no address was given")
	for _, address := range c.addresses {
		base := sling.New().Client(c.http).Base("http://"+address+PathPrefix).Set("Authorization", "Bearer "+c.key)
		var answer json.RawMessage
		var failure ErrorBody
		response, err := prepare(base).Receive(&answer, &failure)
		if err == nil && response.StatusCode != http.StatusOK {
			return &RequestError{Status: response.StatusCode, Detail: failure.Error}
		}
		if err == nil {
			err = decodeObject(answer, target)
		}
		if err == nil {
			return nil
		}
		last = eris.Wrap(ErrUnreachable, err.Error())
	}
	return last
}

// decodeObject decodes an answer, which must be an object: null would leave the target as it is.
func decodeObject(answer json.RawMessage, target any) error {
	if !bytes.HasPrefix(answer, []byte("{")) {
		return eris.Errorf("operator: the answer %.20q is no object", answer)
	}
	return json.Unmarshal(answer, target)
}

func get(path string) func(*sling.Sling) *sling.Sling {
	return func(s *sling.Sling) *sling.Sling { return s.Get(path) }
}

// Configuration returns the configuration in force.
func (c *Client) Configuration() (ConfigurationInForce, error) {
	var result ConfigurationInForce
	err := c.do(get("configuration"), &result)
	return result, err
}

// History returns the latest verdicts, newest first.
func (c *Client) History(limit int) (History, error) {
	var result History
	query := struct {
		Limit int `url:"limit"`
	}{limit}
	err := c.do(func(s *sling.Sling) *sling.Sling { return s.Get("configuration/history").QueryStruct(query) }, &result)
	return result, err
}

// Operation returns the verdict on an operation.
func (c *Client) Operation(id string) (configuration.Verdict, error) {
	var result configuration.Verdict
	err := c.do(get("configuration/operations/"+url.PathEscape(id)), &result)
	return result, err
}

// Check returns the verdict that a change would get, without publishing it.
func (c *Client) Check(change structs.Change) (configuration.Verdict, error) {
	var result configuration.Verdict
	err := c.do(func(s *sling.Sling) *sling.Sling { return s.Post("configuration/check").BodyJSON(change) }, &result)
	return result, err
}

// Publish publishes a change.
func (c *Client) Publish(change structs.Change) (configuration.Verdict, error) {
	var result configuration.Verdict
	err := c.do(func(s *sling.Sling) *sling.Sling { return s.Post("configuration/changes").BodyJSON(change) }, &result)
	return result, err
}

// Fleet returns the fleet as a daemon sees it.
func (c *Client) Fleet() (FleetStatus, error) {
	var result FleetStatus
	err := c.do(get("fleet"), &result)
	return result, err
}

// Programs lists programs of one tenant, or of all when tenant is empty.
func (c *Client) Programs(tenant structs.TenantName, limit int) (Programs, error) {
	var result Programs
	query := struct {
		Tenant structs.TenantName `url:"tenant,omitempty"`
		Limit  int                `url:"limit"`
	}{tenant, limit}
	err := c.do(func(s *sling.Sling) *sling.Sling { return s.Get("programs").QueryStruct(query) }, &result)
	return result, err
}

// Program returns the description of one program.
func (c *Client) Program(key structs.ProgramKey, history bool) (dispatch.ProgramDescription, error) {
	var result dispatch.ProgramDescription
	query := struct {
		History bool `url:"history,omitempty"`
	}{history}
	path := "programs/" + url.PathEscape(string(key.Tenant)) + "/" + (&url.URL{Path: string(key.Program)}).EscapedPath()
	err := c.do(func(s *sling.Sling) *sling.Sling { return s.Get(path).QueryStruct(query) }, &result)
	return result, err
}
