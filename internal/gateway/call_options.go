package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// identifierPattern matches program, request and trace identifiers.
var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9._~/-]{1,200}$`)

// singleCallPrefix is the prefix of the names of programs that are made for one call.
const singleCallPrefix = "single-"

// newCall returns the call that the options describe, without what the body adds.
func (e *exchange) newCall(options callOptions) (*structs.Call, *problem) {
	call := &structs.Call{
		Key:       structs.ProgramKey{Tenant: e.tenant, Program: structs.ProgramID(options.program)},
		Template:  structs.TemplateName(options.template),
		RequestID: structs.RequestID(options.requestID),
		TraceID:   e.r.Header.Get(HeaderTrace),
	}
	e.hasRequestID = options.requestID != ""
	call.Retry = e.hasRequestID && e.sentBefore
	for _, read := range []func(*structs.Call, callOptions) *problem{readFlags, readSequence, readResumeAt, readHistory, fillIdentifiers} {
		if refused := read(call, options); refused != nil {
			return nil, refused
		}
	}
	if !call.Repeatable && !e.hasRequestID {
		return nil, invalid(HeaderRequestID, "A call that is not repeatable needs a request identifier.")
	}
	if refused := e.readTimeout(call); refused != nil {
		return nil, refused
	}
	e.sentBefore = e.sentBefore || call.Retry
	return call, e.gateway.refuseWhileStopping()
}

// sentBefore reports whether the headers mark a request as a retry or resume an answer.
func sentBefore(header http.Header) bool {
	count := header.Get(HeaderClientRetry)
	retriedByClient := count != "" && count != "0"
	return retriedByClient || header.Get(HeaderRetry) == "true" || header.Get(HeaderResumeAt) != ""
}

func readFlags(call *structs.Call, options callOptions) *problem {
	var refused *problem
	call.Repeatable, refused = readBool(HeaderRepeatable, options.repeatable, true)
	if refused != nil {
		return refused
	}
	call.EndProgram, refused = readBool(HeaderEnd, options.end, false)
	return refused
}

func readBool(field, text string, missing bool) (bool, *problem) {
	switch text {
	case "":
		return missing, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, invalid(field, `Use "true" or "false".`)
	}
}

func readSequence(call *structs.Call, options callOptions) *problem {
	if options.sequence == "" {
		return nil
	}
	sequence, err := strconv.ParseUint(options.sequence, 10, 63)
	if err != nil || sequence == 0 {
		return invalid(HeaderSequence, "Use a whole number from 1.")
	}
	call.Sequence = sequence
	return nil
}

func readResumeAt(call *structs.Call, options callOptions) *problem {
	if options.resumeAt == "" {
		return nil
	}
	offset, err := strconv.ParseInt(options.resumeAt, 10, 64)
	if err != nil || offset < 0 {
		return invalid(HeaderResumeAt, "Use the number of answer bytes received.")
	}
	if options.requestID == "" || options.program == "" {
		return invalid(HeaderResumeAt, "Name the program and the request whose answer goes on.")
	}
	call.ResumeAt = offset
	call.Retry = true
	return nil
}

func readHistory(call *structs.Call, options callOptions) *problem {
	switch mode := structs.HistoryMode(options.history); mode {
	case "":
		call.History = structs.HistoryFull
	case structs.HistoryFull, structs.HistoryAppend:
		call.History = mode
	default:
		return invalid(HeaderHistory, `Use "full" or "append".`)
	}
	return nil
}

// fillIdentifiers validates identifiers and generates missing ones. A call without a
// program gets a program of its own, named after the request so that a retry of the
// request finds it.
func fillIdentifiers(call *structs.Call, options callOptions) *problem {
	if call.RequestID == "" {
		call.RequestID = structs.RequestID(rand.Text())
	}
	if call.TraceID == "" {
		call.TraceID = rand.Text()
	}
	if call.Key.Program == "" {
		digest := sha256.Sum256([]byte(call.RequestID))
		call.Key.Program = structs.ProgramID(singleCallPrefix + hex.EncodeToString(digest[:16]))
		call.EndProgram = true
		call.Anonymous = options.requestID == ""
	}
	if !validProgram(string(call.Key.Program)) {
		return invalid(HeaderProgram, "Use 1 to 200 letters, digits and ._~-, with / before a sub-agent's name.")
	}
	if !identifierPattern.MatchString(string(call.RequestID)) {
		return invalid(HeaderRequestID, "Use 1 to 200 letters, digits and ._~/-.")
	}
	if !identifierPattern.MatchString(call.TraceID) {
		return invalid(HeaderTrace, "Use 1 to 200 letters, digits and ._~/-.")
	}
	return nil
}

func validProgram(program string) bool {
	if !identifierPattern.MatchString(program) {
		return false
	}
	return !strings.HasPrefix(program, "/") && !strings.HasSuffix(program, "/") && !strings.Contains(program, "//")
}

func (e *exchange) readTimeout(call *structs.Call) *problem {
	longest := e.gateway.Limits.MaxTimeout
	timeout := longest
	if text := e.r.Header.Get(HeaderTimeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 || parsed > longest {
			return invalid(HeaderTimeout, fmt.Sprintf("Use a duration such as 30s, at most %s.", longest))
		}
		timeout = parsed
	}
	call.Deadline = e.started.Add(timeout)
	return nil
}
