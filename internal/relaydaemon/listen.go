package relaydaemon

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
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
	// metricsRetryInterval is the time between attempts to listen at the metrics address.
	metricsRetryInterval = time.Second
)

// listen serves on the daemon's listeners.
func (d *Daemon) listen(listeners *Listeners) {
	d.serve(listeners.ready, d.adapter.Ready(d.isReady))
	d.listenToCallers(listeners.front)
}

func (d *Daemon) listenToCallers(listener net.Listener) {
	server := newServer(d.adapter.Front(d), componentLogger(d.logger, "http"))
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0 // the front server enforces its own limits
	d.front = newFrontServer(server, newFrontListener(listener, callerConnections(descriptorLimit()), d.memory), d.RedirectsCallers)
}

// serveMetrics serves metrics. They are optional: while their address is not available, the daemon runs
// without them.
func (d *Daemon) serveMetrics(ctx context.Context) {
	if d.settings.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(d.metrics, promhttp.HandlerOpts{}))
	server := newServer(mux, componentLogger(d.logger, "http"))
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // its connections end with the daemon
	defer stop()
	for isLogged := false; ctx.Err() == nil; clock.Sleep(ctx, metricsRetryInterval) {
		listener, err := net.Listen("tcp", d.settings.MetricsAddress)
		if err == nil {
			_ = server.Serve(listener) // ends when the server is closed
			return
		}
		if !isLogged {
			d.logger.Error().Err(err).Str("metrics_address", d.settings.MetricsAddress).Msg("Metrics address not available. Metrics are not served. The daemon tries again.")
			isLogged = true
		}
	}
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	server := newServer(handler, componentLogger(d.logger, "http"))
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
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
