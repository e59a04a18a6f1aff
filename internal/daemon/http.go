package daemon

import (
	"log"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/gateway"
	"github.com/mintpulley/mintpulley/internal/metrics"
	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/operator"
	"github.com/mintpulley/mintpulley/internal/settings"
)

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 32 << 10
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
)

// newServer returns the HTTP server of a daemon, which serves callers, operators,
// metrics and health checks.
func newServer(n *node.Node, config settings.Settings, traffic *metrics.Traffic, logger zerolog.Logger) *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	metrics.RegisterNode(registry, n, traffic)
	limits := gateway.DefaultLimits()
	limits.MaxBodyBytes, limits.MaxTimeout = config.Limits.MaxBodyBytes, config.Limits.CallTimeout
	gatewayHandler := gateway.New(gateway.Options{
		Node:           n,
		Queries:        n.Queries,
		Configurations: n.Configurations,
		Stopping:       n.Leaving,
		Limits:         limits,
		Metrics:        metrics.NewCallers(registry),
		Logger:         logger.With().Str("part", "gateway").Logger(),
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, n) })
	mux.Handle(operator.PathPrefix, newOperator(n, config, logger))
	mux.Handle("/", gatewayHandler)
	httpLogger := logger.With().Str("part", "http").Logger()
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(httpLogger, "", 0),
	}
}

func newOperator(n *node.Node, config settings.Settings, logger zerolog.Logger) *operator.Handler {
	return operator.New(operator.Options{
		Self:           n.Self,
		Operators:      config.Operators,
		Configurations: n.Configurations,
		Members:        n.Membership,
		Queries:        n.Queries,
		Shards:         n.Replication.Summary,
		Machines:       n.Directory.Machines,
		Publish:        configuration.DefaultPublishSettings(),
		Logger:         logger.With().Str("part", "operator").Logger(),
	})
}

// serveHealth always succeeds: the process is alive.
func serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// serveReady reports whether callers should be sent to this daemon;
// see node.Readiness.
func serveReady(w http.ResponseWriter, n *node.Node) {
	readiness := n.Readiness()
	if !readiness.Ready {
		http.Error(w, readiness.Detail, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
