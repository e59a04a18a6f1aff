package checker

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	roleSystem    = "system"
	roleAssistant = "assistant"
)

// checkPrompt checks the history in a prompt that an engine received: it must
// contain every turn whose answer the caller had received, with that answer,
// and nothing from another program.
func (c *Checker) checkPrompt(r *drivers.EngineRun) {
	record := c.callOfAttempt(r.Request.Program, r.Request.Attempt)
	if record == nil {
		return
	}
	present := c.readPrompt(r, record)
	for _, earlier := range c.programs[r.Request.Program].calls {
		if earlier.ordinal >= record.ordinal || earlier.call.Kind != structs.CallModel {
			continue
		}
		if earlier.completedBefore(r.StartedAt) && !present[earlier] {
			c.Report(HistoryLost, "%s %s: engine %s got a prompt without the answered call %s", r.Request.Program, record.call.RequestID, r.Engine, earlier.call.RequestID)
		}
	}
}

// readPrompt returns the calls whose turns are in the prompt, and reports
// messages that are out of order or from another program.
func (c *Checker) readPrompt(r *drivers.EngineRun, record *callRecord) map[*callRecord]bool {
	present := map[*callRecord]bool{}
	latestOrdinal := 0
	var sender *callRecord
	for _, message := range r.Request.Messages {
		switch message.Role {
		case roleSystem:
		case roleAssistant:
			c.checkAssistantMessage(r, sender, message)
		default:
			sender = c.senderOf(message.Content, record, present)
			if sender == nil || sender.call.Key != r.Request.Program {
				c.Report(HistoryMixed, "%s %s: engine %s got a message that the program never sent", r.Request.Program, record.call.RequestID, r.Engine)
				continue
			}
			if sender.ordinal < latestOrdinal {
				c.Report(HistoryMixed, "%s %s: engine %s got call %d after call %d", r.Request.Program, record.call.RequestID, r.Engine, sender.ordinal, latestOrdinal)
			}
			latestOrdinal = sender.ordinal
			present[sender] = true
		}
	}
	if !present[record] {
		c.Report(HistoryLost, "%s %s: engine %s got a prompt without the call's own messages", r.Request.Program, record.call.RequestID, r.Engine)
	}
	return present
}

// senderOf returns the call that sent a message. If several calls sent the same
// text, it is the call itself or the first completed one that is not yet in
// present.
func (c *Checker) senderOf(text string, own *callRecord, present map[*callRecord]bool) *callRecord {
	records := c.callsByMessage[text]
	for _, record := range records {
		if record == own || (!present[record] && record.answeredCompleted()) {
			return record
		}
	}
	if len(records) == 0 {
		return nil
	}
	return records[0]
}

// checkAssistantMessage checks that an assistant's message is the answer to the
// call whose messages precede it.
func (c *Checker) checkAssistantMessage(r *drivers.EngineRun, sender *callRecord, message structs.Message) {
	if sender == nil || sender.call.Key != r.Request.Program {
		return
	}
	for _, a := range sender.answers {
		if a.outcome.Status == structs.OutcomeCompleted && a.text != message.Content {
			c.Report(HistoryLost, "%s %s: the history has an answer of %d bytes, the caller received one of %d bytes", r.Request.Program, sender.call.RequestID, len(message.Content), len(a.text))
		}
	}
}

func (r *callRecord) completedBefore(at time.Time) bool {
	for _, a := range r.answers {
		if a.outcome.Status == structs.OutcomeCompleted && !a.at.After(at) {
			return true
		}
	}
	return false
}

// checkUnknownProgram reports an answer of "unknown program" when an earlier
// call of the program was completed and the program had not ended.
func (c *Checker) checkUnknownProgram(p *programRecord, record *callRecord) {
	if !p.endedAt.IsZero() {
		return
	}
	for _, earlier := range p.calls {
		if earlier.ordinal < record.ordinal && earlier.completedBefore(record.issuedAt) {
			c.Report(HistoryLost, "%s %s: the program is unknown although call %s was answered", p.key, record.call.RequestID, earlier.call.RequestID)
			return
		}
	}
}
