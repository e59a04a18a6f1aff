// Package integration holds tests with real processes: freshly built daemons and
// stand-ins, with all connections through the fault-injecting proxy. They need the
// build tag "integration".
package integration
