package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/relaydaemon"
	"github.com/mintpulley/mintpulley/internal/store"
)

// contentsTimeout bounds the calls to the store of one command.
const contentsTimeout = 10 * time.Second

var (
	errNoDigest = errors.New("contents allow: the DIGEST of a content is missing")
	errFormat   = errors.New("--format: must be text or json")
)

// contentsCommand shows the contents under which back ends ended, and lets them through again.
func contentsCommand() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "the settings `FILE` of any daemon"}
	return &cli.Command{
		Name:  "contents",
		Usage: "show requests under which back ends ended, and let them through again",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the contents under which back ends ended, those with the most ends first",
				Flags:  []cli.Flag{settings, &cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"}},
				Action: listContents,
			},
			{
				Name: "allow", Usage: "let a content through again", ArgsUsage: "DIGEST",
				Description: "What ended under the content before does not count any more. Example:\n" +
					"mintpulley-relay contents allow --settings daemon.yaml 4a8438e2cdb7d03e-11-052c9d7dfdedecf10e95bc86e3f89826",
				Flags:  []cli.Flag{settings},
				Action: allowContent,
			},
		},
	}
}

// openStore returns the store of the settings that a command names.
func openStore(command *cli.Command) (store.Store, error) {
	path := command.String("settings")
	if path == "" {
		return nil, errNoSettings
	}
	settings, err := relaydaemon.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	newAdapter, err := relaydaemon.Adapters.Lookup(settings.Adapter)
	if err != nil {
		return nil, err
	}
	return newAdapter(relaydaemon.AdapterOptions{
		StoreAddress: settings.StoreAddress, Logger: zerolog.Nop(), Registry: prometheus.NewRegistry(),
	}).Store(), nil
}

func listContents(ctx context.Context, command *cli.Command) error {
	format := command.String("format")
	if format != "text" && format != "json" {
		return errFormat
	}
	opened, err := openStore(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, contentsTimeout)
	defer cancel()
	contents, err := poison.List(ctx, opened, time.Now())
	if err != nil {
		return err
	}
	if format == "json" {
		return json.NewEncoder(os.Stdout).Encode(contents)
	}
	return writeContents(os.Stdout, contents)
}

// writeContents writes a line for each send of each content.
func writeContents(to io.Writer, contents []poison.SuspectedContent) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CONTENT\tENDS\tREFUSED\tSTATE\tAT\tBACK END\tDAEMON\tREQUEST\tROUTE\tTENANT") // Flush returns the error
	for _, content := range contents {
		for _, send := range content.Sends {
			at := time.UnixMilli(send.AtMS).UTC().Format(time.RFC3339)
			_, _ = fmt.Fprintf(table, "%s\t%d\t%v\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", // Flush returns the error
				content.Digest, content.Ends, content.IsRefused, send.State, at, send.Instance, send.Daemon, send.Request, send.Route, send.Tenant)
		}
	}
	return table.Flush()
}

func allowContent(ctx context.Context, command *cli.Command) error {
	digest := command.Args().First()
	if digest == "" {
		return errNoDigest
	}
	opened, err := openStore(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, contentsTimeout)
	defer cancel()
	return poison.Allow(ctx, opened, poison.Digest(digest), time.Now())
}
