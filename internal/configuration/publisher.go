package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// ErrOutcomeUnknown: the change may have been appended and may still take
// effect. Publishing it again under the same operation identifier is safe.
var ErrOutcomeUnknown = eris.New("configuration: it is not known whether the change was appended; publish it again under the same operation identifier")

// RefusedError reports a change that the fold did not accept.
type RefusedError struct {
	Verdict Verdict
	// InForce is the verdict on the change that created the revision in force,
	// nil if unknown.
	InForce *Verdict
}

// Error implements error.
func (e *RefusedError) Error() string { return Explain(e.Verdict, e.InForce) }

// Explain describes to an operator why an entry was not applied and what to do.
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

// PublishSettings holds the timeout and retry settings of a publication.
type PublishSettings struct {
	// Timeout is how long to wait for the verdict before ErrOutcomeUnknown.
	Timeout time.Duration
	// RetryDelay is the pause before each retry, and before the operation is
	// looked up after a lost answer. It allows for stale reads of the log.
	RetryDelay time.Duration
	// MaximumLookups is how often the log is searched for the operation before
	// it is appended again.
	MaximumLookups int
}

// DefaultPublishSettings returns settings for a log that answers within a
// second.
func DefaultPublishSettings() PublishSettings {
	return PublishSettings{Timeout: 15 * time.Second, RetryDelay: 300 * time.Millisecond, MaximumLookups: 2}
}

// publication is one change that is being published.
type publication struct {
	store    *Store
	settings PublishSettings
	change   structs.Change
	payload  []byte
	// searchFrom is the offset at which a search of the log begins: the
	// operation was not folded before it.
	searchFrom structs.LogOffset
	lookups    int
	startedAt  time.Time
	completed  bool
	done       func(Verdict, error)
}

// Publish appends a change and calls done once with the verdict on it. The error
// is nil when the change was accepted, a *RefusedError when it was not, or
// ErrOutcomeUnknown. After an append whose answer was lost, the operation is
// looked up in the log before it is appended again; if a stale read hides it,
// the fold drops the second entry as a duplicate.
func (s *Store) Publish(change structs.Change, settings PublishSettings, done func(Verdict, error)) {
	s.queue.Do(func() {
		p := &publication{store: s, settings: settings, change: change, startedAt: s.Clock.Now(), searchFrom: s.state.Next, done: done}
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

// append appends the entry to the log.
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

// lookUp searches the log for the operation after the answer to an append was
// lost.
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

// complete calls done with a verdict.
func (p *publication) complete(verdict Verdict, inForce *Verdict) {
	p.completed = true
	if verdict.Accepted {
		p.done(verdict, nil)
		return
	}
	p.done(verdict, &RefusedError{Verdict: verdict, InForce: inForce})
}

// completePublications completes the publications whose verdict is known.
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

// revisionVerdict returns the verdict on the change that created a revision, nil
// if it is not in the window.
func (s *State) revisionVerdict(revision structs.Revision) *Verdict {
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		if s.Verdicts[i].Accepted && s.Verdicts[i].Revision == revision {
			verdict := s.Verdicts[i]
			return &verdict
		}
	}
	return nil
}
