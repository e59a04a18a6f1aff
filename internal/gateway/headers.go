package gateway

import "net/http"

// Headers by which a caller sets the options of a call. All are optional; see
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

func (o *callOptions) fields() []optionField {
	return []optionField{
		{HeaderProgram, "program", &o.program},
		{HeaderTemplate, "template", &o.template},
		{HeaderSequence, "sequence", &o.sequence},
		{HeaderRequestID, "request_id", &o.requestID},
		{HeaderRepeatable, "repeatable", &o.repeatable},
		{HeaderEnd, "end", &o.end},
		{HeaderHistory, "history", &o.history},
		{HeaderResumeAt, "resume_at", &o.resumeAt},
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
func (o *callOptions) merge(metadata map[string]string) *problem {
	for _, field := range o.fields() {
		value, given := metadata[field.key]
		if !given {
			continue
		}
		if *field.value != "" && *field.value != value {
			return invalid("metadata."+field.key, "It differs from the header "+field.header+".")
		}
		*field.value = value
	}
	return nil
}
