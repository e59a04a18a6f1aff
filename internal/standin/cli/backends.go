package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/standin/application"
	"github.com/mintpulley/mintpulley/internal/standin/tool"
)

func toolCommand() *cli.Command {
	return &cli.Command{
		Name:  "tool",
		Usage: "a tool service that can hang",
		UsageText: "mintpulley-standin tool --listen 127.0.0.1:8400\n" +
			"   curl -X POST 127.0.0.1:8400/operations/swing -d '{\"booth\":12}'\n" +
			"   curl -X PUT 127.0.0.1:8400/faults -d '{\"hang\":0.2,\"delay\":\"300ms\"}'",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command, endpoint{"listening", command.String("listen"), tool.New()})
		},
	}
}

func applicationCommand() *cli.Command {
	return &cli.Command{
		Name:  "application",
		Usage: "an application back end that counts how often each request ran",
		UsageText: "mintpulley-standin application --listen 127.0.0.1:8500\n" +
			"   curl -X PUT 127.0.0.1:8500/faults -d '{\"lose_answers\":0.5}'\n" +
			"   curl -X POST 127.0.0.1:8500/restart\n" +
			"   curl 127.0.0.1:8500/runs",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.BoolFlag{Name: "volatile", Usage: "forget attempts and fences on a restart"},
			&cli.BoolFlag{Name: "deduplicate", Usage: "answer a repeated attempt without running it again"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings := application.Settings{Volatile: command.Bool("volatile"), Deduplicate: command.Bool("deduplicate")}
			return serve(ctx, command, endpoint{"listening", command.String("listen"), application.NewWithSettings(settings)})
		},
	}
}
