package relaydaemon

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// headerTimeout and idleTimeout limit how long callers may take to send a request's header, and
	// how long their connections may be idle, until the operators' limits are known.
	headerTimeout = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// headerLimit is the maximum size of a request's header in bytes, whatever the operators allow:
	// it is held in memory.
	headerLimit = 256 << 10
	// metricsPath is the path of the metrics endpoint.
	metricsPath = "/metrics"
)

// listen opens the daemon's listeners and serves on them. Metrics come last and are optional: if
// their address is taken, the daemon runs without them.
func (d *Daemon) listen() error {
	if err := d.serve(d.settings.ReadyAddress, d.adapter.Ready(d.isReady)); err != nil {
		return err
	}
	if err := d.listenToCallers(); err != nil {
		return err
	}
	if d.settings.MetricsAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(d.metrics, promhttp.HandlerOpts{}))
	if err := d.serve(d.settings.MetricsAddress, mux); err != nil {
		d.logger.Error().Err(err).Str("metrics_address", d.settings.MetricsAddress).Msg("Metrics address not available. Metrics are not served.")
	}
	return nil
}

func (d *Daemon) listenToCallers() error {
	listener, err := net.Listen("tcp", d.settings.FrontAddress)
	if err != nil {
		return eris.Wrap(err, "relaydaemon: listen")
	}
	server := newServer(d.adapter.Front(d), componentLogger(d.logger, "http"))
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0 // the front server enforces its own limits
	d.front = newFrontServer(server, listener, d.RedirectsCallers)
	return nil
}

func (d *Daemon) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "relaydaemon: listen")
	}
	server := newServer(handler, componentLogger(d.logger, "http"))
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	return nil
}

func newServer(handler http.Handler, logger zerolog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
		ErrorLog:          log.New(serverErrorLog{logger}, "", 0),
	}
}
