package relay

// The events of a stream come from one software version of one service's back ends: what
// another version would send does not continue it, and back ends do not check that. So a
// stream of which events were passed on is bound to the version that sent the first of them.

// isBoundToVersion reports whether only one software version may go on with the call.
func (c *callHandler) isBoundToVersion() bool { return c.version != nil }

// bindToVersion binds the call to a software version.
func (c *callHandler) bindToVersion(version string) { c.version = &version }

// refuseIfVersionGone ends a call that is bound to a software version which no instance has
// any more, and reports whether it did. A list of instances that may be incomplete proves
// nothing. An instance that did not accept a connection is nearly always gone.
func (c *callHandler) refuseIfVersionGone() bool {
	if !c.isBoundToVersion() || c.relay.Pool.MayBeIncomplete() {
		return false
	}
	query := c.query()
	query.Only, query.Excluded = "", c.notReached
	if c.relay.Pool.MayAdmit(query) {
		return false
	}
	c.refuse(versionGoneRefusal)
	return true
}
