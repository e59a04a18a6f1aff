package network

import "time"

// Client is a process that calls services over the network.
type Client struct {
	Network *Network
	Process *Process
	Place   Place
}

// Request calls a service. serve runs when the request has arrived, and calls
// reply immediately or later. done is called once in the calling process: with
// the reply, or with timeoutErr if none arrives within timeout.
func Request[T any](c Client, service Place, timeout time.Duration, timeoutErr error, serve func(reply func(T, error)), done func(T, error)) {
	finished := false
	finish := func(value T, err error) {
		if !finished {
			finished = true
			done(value, err)
		}
	}
	timer := c.Process.AfterFunc(timeout, func() {
		var none T
		finish(none, timeoutErr)
	})
	answered := func(value T, err error) {
		c.Process.Run(func() {
			timer.Stop()
			finish(value, err)
		})
	}
	reply := func(value T, err error) {
		c.Network.Deliver(service, c.Place, func() { answered(value, err) })
	}
	c.Process.Run(func() {
		c.Network.Deliver(c.Place, service, func() { serve(reply) })
	})
}
