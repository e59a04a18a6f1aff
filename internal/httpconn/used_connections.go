package httpconn

import "slices"

// UsedConnections lists the connections on which one request was sent. A peer may send an answer twice,
// the second time late, and a request's ID does not tell which of its sends is answered; so a request is
// sent at most once on a connection. The zero value is empty. It must not be used by two exchanges at
// the same time.
type UsedConnections struct {
	// numbers are the connections' numbers in their pool, oldest first.
	numbers []uint64
}

// Latest returns the number of the connection that was used last, 0 if none was. No two connections
// of a pool have the same number.
func (u *UsedConnections) Latest() uint64 {
	if u == nil || len(u.numbers) == 0 {
		return 0
	}
	return u.numbers[len(u.numbers)-1]
}

// contains reports whether a connection was used.
func (u *UsedConnections) contains(c *conn) bool {
	return u != nil && slices.Contains(u.numbers, c.number)
}

func (u *UsedConnections) add(c *conn) {
	if u != nil {
		u.numbers = append(u.numbers, c.number)
	}
}
