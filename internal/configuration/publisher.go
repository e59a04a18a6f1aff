package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// ErrOutcomeUnknown: the change may have been appended and may yet come into
// force. Publishing it again under the same operation identifier is safe.
var ErrOutcomeUnknown = eris.New("configuration: it is not known whether the change was appended; publish it again under the same operation identifier")

// RefusedError is a change that the fold refused.
type RefusedError struct {
	Verdict Verdict
	// InForce is the change that made the revision in force, if it is known.
	InForce *Verdict
}

// Error explains the refusal to an operator.
func (e *RefusedError) Error() string { return Explain(e.Verdict, e.InForce) }

// Explain says in words why an entry was not applied and what to do.
func Explain(verdict Verdict, inForce *Verdict) string {
	switch verdict.Reason {
	case VerdictStaleBase:
		text := fmt.Sprintf("the change builds on revision %d, in force is revision %d", verdict.Base, verdict.Revision)
		if inForce != nil {
			text += fmt.Sprintf(", made by %s with operation %s", inForce.Operator, inForce.OperationID)
		}
		return text + "; look at the difference and publish again"
	case VerdictInvalid, VerdictMalformed:
		reasons := make([]string, 0, len(verdict.Problems))
		for _, problem := range verdict.Problems {
			reasons = append(reasons, problem.String())
		}
		return "the change was refused: " + strings.Join(reasons, "; ")
	case VerdictDuplicate:
		return fmt.Sprintf("the operation stands in the log already, at offset %d", verdict.FirstOffset)
	default:
		return string(verdict.Reason)
	}
}

// PublishSettings bound a publication.
type PublishSettings struct {
	// Timeout is how long to go on before the outcome is given up as unknown.
	Timeout time.Duration
	// RetryDelay comes before an operation is looked up after a lost answer, and
	// between tries. A reader of the log may lag by as much.
	RetryDelay time.Duration
	// MaximumLookups is how often the log is searched before the entry is appended
	// again.
	MaximumLookups int
}

// DefaultPublishSettings returns settings for a log that answers within a
// second.
func DefaultPublishSettings() PublishSettings {
	return PublishSettings{Timeout: 15 * time.Second, RetryDelay: 300 * time.Millisecond, MaximumLookups: 2}
}

// publication is one change on its way into force.
type publication struct {
	store    *Store
	settings PublishSettings
	change   structs.Change
	payload  []byte
	// from is where a search of the log begins: the operation was not folded
	// before it.
	searchFrom structs.LogOffset
	lookups    int
	begun      time.Time
	completed  bool
	done       func(Verdict, error)
}

// Publish appends a change and calls done once with the fold's verdict on it.
// The error is nil when the change came into force, a *RefusedError when it
// was refused, or ErrOutcomeUnknown. After an append whose answer was lost the
// operation is looked up in the log before it is appended again; should a
// lagging reader hide it even so, the fold applies it once.
func (s *Store) Publish(change structs.Change, settings PublishSettings, done func(Verdict, error)) {
	s.queue.Do(func() {
		p := &publication{store: s, settings: settings, change: change, begun: s.Clock.Now(), searchFrom: s.state.Next, done: done}
		payload, err := EncodeEntry(Entry{Change: &change})
		if err != nil {
			p.complete(Verdict{OperationID: change.OperationID, Reason: VerdictMalformed, Problems: []Problem{{Reason: err.Error()}}}, nil)
			return
		}
		if problems := checkChangeMetadata(&change); len(problems) > 0 {
			p.complete(Verdict{OperationID: change.OperationID, Reason: VerdictInvalid, Problems: problems}, nil)
			return
		}
		p.payload = payload
		if verdict, known := s.state.OperationVerdict(change.OperationID); known {
			p.complete(verdict, nil)
			return
		}
		s.publications = append(s.publications, p)
		s.after(settings.Timeout, p.expire)
		p.append()
	})
}

// append sends the entry to the log.
func (p *publication) append() {
	if p.completed {
		return
	}
	s := p.store
	p.lookups = 0
	s.Log.Append(framework.StreamConfiguration, p.change.OperationID, p.payload, func(_ structs.LogOffset, err error) {
		s.queue.Do(func() { p.appended(err) })
	})
}

func (p *publication) appended(err error) {
	switch {
	case p.completed || p.store.stopped:
	case err == nil:
		p.store.readOnce()
	case eris.Is(err, framework.ErrNotSent), eris.Is(err, framework.ErrRefused):
		p.store.after(p.settings.RetryDelay, p.append)
	default:
		p.store.after(p.settings.RetryDelay, p.lookUp)
	}
}

// lookUp searches the log for the operation after a lost answer.
func (p *publication) lookUp() {
	p.lookups++
	p.scan(max(p.searchFrom, p.store.state.Next))
}

func (p *publication) scan(at structs.LogOffset) {
	if p.completed {
		return
	}
	s := p.store
	s.Log.Read(framework.StreamConfiguration, at, maximumReadEntries, func(entries []framework.LogEntry, err error) {
		s.queue.Do(func() { p.scanned(at, entries, err) })
	})
}

func (p *publication) scanned(at structs.LogOffset, entries []framework.LogEntry, err error) {
	if p.completed || p.store.stopped {
		return
	}
	if err != nil {
		p.store.after(p.settings.RetryDelay, p.lookUp)
		return
	}
	for _, entry := range entries {
		if entry.OperationID == p.change.OperationID {
			p.store.readOnce()
			return
		}
	}
	switch {
	case len(entries) > 0:
		p.scan(at + structs.LogOffset(len(entries)))
	case p.lookups < p.settings.MaximumLookups:
		p.store.after(p.settings.RetryDelay, p.lookUp)
	default:
		p.append()
	}
}

func (p *publication) expire() {
	if !p.completed {
		p.completed = true
		p.done(Verdict{OperationID: p.change.OperationID, Base: p.change.Base, Revision: p.store.state.Revision()}, ErrOutcomeUnknown)
	}
}

// end reports a verdict.
func (p *publication) complete(verdict Verdict, inForce *Verdict) {
	p.completed = true
	if verdict.Accepted {
		p.done(verdict, nil)
		return
	}
	p.done(verdict, &RefusedError{Verdict: verdict, InForce: inForce})
}

// settlePublications ends the publications whose verdict is known by now.
func (s *Store) completePublications() {
	kept := s.publications[:0]
	var settled []*publication
	for _, p := range s.publications {
		if _, known := s.state.OperationVerdict(p.change.OperationID); known && !p.completed {
			settled = append(settled, p)
			continue
		}
		if !p.completed {
			kept = append(kept, p)
		}
	}
	clear(s.publications[len(kept):])
	s.publications = kept
	for _, p := range settled {
		verdict, _ := s.state.OperationVerdict(p.change.OperationID)
		p.complete(verdict, s.state.revisionVerdict(verdict.Revision))
	}
}

// maker returns the verdict on the change that made a revision.
func (s *State) revisionVerdict(revision structs.Revision) *Verdict {
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		if s.Verdicts[i].Accepted && s.Verdicts[i].Revision == revision {
			verdict := s.Verdicts[i]
			return &verdict
		}
	}
	return nil
}
