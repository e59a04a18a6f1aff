package demo

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/examples"
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/configuration/files"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Result is the final report of a demonstration.
type Result struct {
	Daemons                        int     `json:"daemons"`
	Programs                       int     `json:"programs"`
	Completed                      int     `json:"completed"`
	Calls                          int     `json:"calls"`
	Refused                        int     `json:"refused"`
	ProgramLatencyP50Seconds       float64 `json:"program_latency_p50_s"`
	ProgramLatencyP95Seconds       float64 `json:"program_latency_p95_s"`
	AddedFirstTokenP50Milliseconds float64 `json:"added_first_token_p50_ms"`
	AddedFirstTokenP99Milliseconds float64 `json:"added_first_token_p99_ms"`
	Violations                     int     `json:"violations"`
}

const (
	// readinessTimeout limits the wait for the daemons to be ready.
	readinessTimeout = 10 * time.Second
	// readyPause is the interval between readiness checks.
	readyPause = 20 * time.Millisecond
	// microsecondsPerSecond and microsecondsPerMillisecond convert histogram
	// values.
	microsecondsPerSecond      = 1e6
	microsecondsPerMillisecond = 1e3
	// histogramDigits is the precision of histograms.
	histogramDigits = 3
)

// Run runs the demonstration: it publishes both users' example configurations,
// runs their programs, measures the time to the first token, and checks what
// the back ends executed.
func Run(ctx context.Context) (Result, error) {
	wanted, problems := files.LoadFS(examples.Files, "tally", "chlebnet")
	if len(problems) > 0 {
		return Result{}, eris.Errorf("demo: examples: %s", problems[0].String())
	}
	cluster, err := StartCluster(ClusterOptions{
		Models:       modelsOf(wanted.Configuration),
		Applications: []string{targetResults, targetBooths, targetOrders, targetFlour},
		Logger:       zerolog.Nop(),
	})
	if err != nil {
		return Result{}, err
	}
	defer cluster.Close()
	cluster.rememberTenants(wanted.Configuration)
	if err := cluster.Publish(wanted.Configuration); err != nil {
		return Result{}, err
	}
	if err := cluster.WaitForReadiness(ctx); err != nil {
		return Result{}, err
	}
	result := cluster.runPrograms(ctx)
	added, err := cluster.measureFirstToken(ctx)
	if err != nil {
		return Result{}, err
	}
	result.AddedFirstTokenP50Milliseconds = added.at(50)
	result.AddedFirstTokenP99Milliseconds = added.at(99)
	return result, nil
}

func modelsOf(wanted structs.Configuration) []structs.ModelName {
	var models []structs.ModelName
	for name := range wanted.Models {
		models = append(models, name)
	}
	return models
}

// rememberTenants records the tenant of each key hash for the checks of the
// back ends.
func (c *Cluster) rememberTenants(wanted structs.Configuration) {
	c.tenants = map[string]structs.TenantName{}
	for name, tenant := range wanted.Tenants {
		for _, hash := range tenant.KeyHashes {
			c.tenants[hash] = name
		}
	}
}

// Publish appends a full configuration change to the log.
func (c *Cluster) Publish(wanted structs.Configuration) error {
	payload, err := configuration.EncodeFullChange("demo", wanted)
	if err != nil {
		return eris.Wrap(err, "demo: publish")
	}
	c.Log.Append(framework.StreamConfiguration, "demo", payload)
	return nil
}

// WaitForReadiness returns once every daemon is ready for callers: the
// configuration is in force and the leaders of the shards are known.
func (c *Cluster) WaitForReadiness(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	for i, d := range c.Daemons {
		for !d.Node.Readiness().Ready {
			select {
			case <-ctx.Done():
				return eris.Errorf("demo: daemon %s is not ready: %s", c.HTTPAddresses[i], d.Node.Readiness().Detail)
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits)
}
