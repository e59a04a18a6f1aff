package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

// configurationWaits bounds how often a submission waits configurationRetry for
// the first configuration: for two seconds in total.
const configurationWaits = 20

// refuseUnresolved refuses a call that the configuration does not allow. A
// daemon that has just started may lead before it knows any configuration; the
// call is then submitted again a little later.
func (l *leader) refuseUnresolved(follower attachment, submit *Submit, refusal structs.Outcome) {
	waits := l.unconfigured[follower]
	if refusal.Reason != structs.ReasonNoConfiguration || waits >= configurationWaits {
		delete(l.unconfigured, follower)
		l.refuseTemporarily(follower, submit.Call, refusal)
		return
	}
	l.unconfigured[follower] = waits + 1
	l.after(configurationRetry, func() { l.resubmit(follower, submit, waits+1) })
}

// resubmit submits a call that waited for a configuration, unless another copy
// of it was submitted in the meantime.
func (l *leader) resubmit(follower attachment, submit *Submit, waits int) {
	if l.unconfigured[follower] != waits {
		return
	}
	if l.Configurations.Current() != nil {
		delete(l.unconfigured, follower)
	}
	l.submit(follower.daemon, submit)
}
