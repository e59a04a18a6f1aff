package gateway

import "net/http"

// Headers by which a caller names its program. All are optional; see
// docs/PROTOCOLS.md.
const (
	HeaderProgram    = "Mintpulley-Program"
	HeaderTemplate   = "Mintpulley-Template"
	HeaderSequence   = "Mintpulley-Sequence"
	HeaderRequestID  = "Mintpulley-Request-Id"
	HeaderRepeatable = "Mintpulley-Repeatable"
	HeaderEnd        = "Mintpulley-End"
	HeaderHistory    = "Mintpulley-History"
	HeaderResumeAt   = "Mintpulley-Resume-At"
	HeaderTrace      = "Mintpulley-Trace"
	HeaderTimeout    = "Mintpulley-Timeout"
	HeaderRetry      = "Mintpulley-Retry"
	// HeaderClientRetry is set by OpenAI's client libraries on retries.
	HeaderClientRetry = "X-Stainless-Retry-Count"
	// HeaderShouldRetry tells OpenAI's client libraries whether to retry.
	HeaderShouldRetry = "X-Should-Retry"
)

// callOptions are a caller's options for a call, from headers or from the metadata in
// the body.
type callOptions struct {
	program    string
	template   string
	sequence   string
	requestID  string
	repeatable string
	end        string
	history    string
	resumeAt   string
}

// optionField is one option with its header and its metadata key.
type optionField struct {
	header string
	key    string
	value  *string
}

func (n *callOptions) fields() []optionField {
	return []optionField{
		{HeaderProgram, "program", &n.program},
		{HeaderTemplate, "template", &n.template},
		{HeaderSequence, "sequence", &n.sequence},
		{HeaderRequestID, "request_id", &n.requestID},
		{HeaderRepeatable, "repeatable", &n.repeatable},
		{HeaderEnd, "end", &n.end},
		{HeaderHistory, "history", &n.history},
		{HeaderResumeAt, "resume_at", &n.resumeAt},
	}
}

func optionsFromHeader(header http.Header) callOptions {
	var options callOptions
	for _, field := range options.fields() {
		*field.value = header.Get(field.header)
	}
	return options
}

// merge adds the options in the metadata. An option given twice must have the same
// value. Other metadata keys are ignored.
func (n *callOptions) merge(metadata map[string]string) *problem {
	for _, field := range n.fields() {
		value, given := metadata[field.key]
		if !given {
			continue
		}
		if *field.value != "" && *field.value != value {
			return invalid("metadata."+field.key, "The value differs from that of the header "+field.header+".")
		}
		*field.value = value
	}
	return nil
}
