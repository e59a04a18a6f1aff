package command

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/operator"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// memberTimeout bounds the request to each daemon.
	memberTimeout = 3 * time.Second
	// maxConcurrentMembers bounds the number of concurrent requests to daemons.
	maxConcurrentMembers = 16
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "inspect the fleet",
		Commands: []*cli.Command{{
			Name:  "status",
			Usage: "show daemons, the configuration revision of each, and back ends",
			Description: `Asks one daemon for the members that it knows, then each member for its own status.

Examples:
  mintpulley fleet status --daemon 10.0.0.1:7001
  mintpulley fleet status --daemon 10.0.0.1:7001 --format json

Exit codes: 0 all daemons answer and agree, 1 some do not, 2 wrong usage or no answer.`,
			Flags:  clientFlags(),
			Action: runFleetStatus,
		}},
	}
}

// fleetReport is the JSON output of fleet status.
type fleetReport struct {
	Daemons  []daemonReport    `json:"daemons"`
	Machines []structs.Machine `json:"machines"`
	// Revision is the highest in force at any daemon.
	Revision structs.Revision `json:"revision"`
	// Behind counts daemons that do not answer, do not serve, or have an older
	// revision.
	Behind int `json:"behind"`
}

// daemonReport is one daemon's entry in the member list of the daemon asked
// first, and its own status if it answered.
type daemonReport struct {
	Member   membership.Member `json:"member"`
	Answered bool              `json:"answered"`
	// Configuration is reported by the daemon itself.
	Configuration operator.ConfigurationStatus `json:"configuration"`
	Shards        replication.Summary          `json:"shards"`
}

func runFleetStatus(_ context.Context, command *cli.Command) error {
	client, o, err := clientAndOutput(command)
	if err != nil {
		return err
	}
	fleet, err := client.Fleet()
	if err != nil {
		return err
	}
	report := fleetReport{Daemons: queryMembers(client, fleet.Members), Machines: fleet.Machines}
	for _, daemon := range report.Daemons {
		report.Revision = max(report.Revision, daemon.Configuration.Revision)
	}
	for _, daemon := range report.Daemons {
		if !daemon.Answered || !daemon.Configuration.Serving || daemon.Configuration.Revision < report.Revision {
			report.Behind++
		}
	}
	if err := write(o, report, writeFleet); err != nil {
		return err
	}
	if report.Behind > 0 {
		return eris.Wrapf(ErrCheckFailed, "%d daemons are silent or behind", report.Behind)
	}
	return nil
}

// queryMembers asks all members for their status, a few concurrently.
func queryMembers(client *operator.Client, members []membership.Member) []daemonReport {
	reports := make([]daemonReport, len(members))
	slots := make(chan struct{}, maxConcurrentMembers)
	var group sync.WaitGroup
	for i, member := range members {
		reports[i].Member = member
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			status, err := client.At(member.Daemon.HTTPAddress, memberTimeout).Fleet()
			reports[i].Answered = err == nil
			reports[i].Configuration = status.Configuration
			reports[i].Shards = status.Shards
		})
	}
	group.Wait()
	return reports
}

func writeFleet(w io.Writer, report fleetReport) error {
	daemons := newTable(w, "daemon", "zone", "region", "state", "http", "answers", "serving", "revision", "offset", "digest", "replicas", "leads", "no majority")
	for _, daemon := range report.Daemons {
		d, c, s := daemon.Member.Daemon, daemon.Configuration, daemon.Shards
		daemons.AppendRow(row(d.ID, d.Zone, d.Region, daemon.Member.State, d.HTTPAddress, daemon.Answered, c.Serving, c.Revision, c.Offset, fmt.Sprintf("%016x", c.Digest), s.Replicas, s.Leads, s.WithoutMajority))
	}
	daemons.Render()
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	machines := newTable(w, "back end", "kind", "name", "zone", "state")
	for _, machine := range report.Machines {
		if machine.Kind != structs.MachineDaemon {
			machines.AppendRow(row(machine.Address, machine.Kind, machine.Name, machine.Zone, machine.State))
		}
	}
	machines.Render()
	_, err := fmt.Fprintf(w, "\nrevision %d, %d of %d daemons silent or behind\n", report.Revision, report.Behind, len(report.Daemons))
	return err
}
