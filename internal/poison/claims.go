package poison

// Of the requests of one daemon with one content, one reserves sends; the others wait for it.

// claim makes t the request of this daemon that reserves sends of its content; false if there is
// another one.
func (g *Guard) claim(t *Tracker) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if other := g.reserving[t.Digest()]; other != nil && other != t {
		return false
	}
	g.reserving[t.Digest()] = t
	return true
}

// unclaim undoes claim.
func (g *Guard) unclaim(t *Tracker) {
	g.mutex.Lock()
	isOwn := g.reserving[t.digest] == t
	if isOwn {
		delete(g.reserving, t.digest)
	}
	g.mutex.Unlock()
	if isOwn {
		g.table.wake()
	}
}

// passOn makes one request that reserves sends of its content be followed by another.
func (g *Guard) passOn(from, to *Tracker) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if from.digest != "" && g.reserving[from.digest] == from {
		g.reserving[from.digest] = to
	}
}
