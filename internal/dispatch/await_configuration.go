package dispatch

import "github.com/mintpulley/mintpulley/internal/structs"

// configurationWaits bounds how often a submission waits configurationPause for
// the first configuration of this daemon: two seconds at most, twice what a
// daemon that starts takes to hear its peers.
const configurationWaits = 20

// refuseUnresolved answers a call that the configuration does not let run. A
// daemon that started a moment ago may lead before it knows any configuration:
// the call is looked at again a little later then.
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

// submitAgain takes up a submission that waited for a configuration, unless
// another copy of it has been taken up since.
func (l *leader) resubmit(follower attachment, submit *Submit, waits int) {
	if l.unconfigured[follower] != waits {
		return
	}
	if l.Configurations.Current() != nil {
		delete(l.unconfigured, follower)
	}
	l.submit(follower.daemon, submit)
}
