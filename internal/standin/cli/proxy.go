package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/standin/proxy"
)

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "a TCP proxy that makes faults",
		UsageText: "mintpulley-standin proxy --listen 127.0.0.1:8600 --route a=127.0.0.1:9001,127.0.0.1:7001\n" +
			"   curl -X PUT 127.0.0.1:8600/routes/a/faults -d '{\"to_target\":{\"delay\":\"50ms\",\"jitter\":\"20ms\"}}'\n" +
			"   curl -X PUT 127.0.0.1:8600/routes/a/faults -d '{\"to_client\":{\"hold\":true}}'\n" +
			"   curl -X POST 127.0.0.1:8600/routes/a/cut\n" +
			"   curl -X POST '127.0.0.1:8600/routes/a/half_close?side=client'",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{
				Name: "route", Usage: "forward `NAME=LISTEN,TARGET`; may be given again",
			},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the jitter"},
		},
		Action: runProxy,
	}
}

func runProxy(ctx context.Context, command *cli.Command) error {
	p := proxy.New(command.Uint64("seed"))
	defer p.Close()
	routes, err := parseRoutes(command.StringSlice("route"))
	if err != nil {
		return err
	}
	for _, wanted := range routes {
		route, err := p.Add(wanted.name, wanted.listen, wanted.target)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(command.Root().Writer, "route %s %s %s\n", wanted.name, route.Address(), wanted.target)
	}
	return serve(ctx, command, endpoint{"listening", command.String("listen"), p})
}

type routeFlag struct{ name, listen, target string }

// parseRoutes parses NAME=LISTEN,TARGET. The flag library splits values at
// commas, so that a route may arrive as two values.
func parseRoutes(values []string) ([]routeFlag, error) {
	var routes []routeFlag
	joined := strings.Join(values, ",")
	if joined == "" {
		return nil, nil
	}
	parts := strings.Split(joined, ",")
	for i := 0; i < len(parts); i += 2 {
		name, listen, named := strings.Cut(parts[i], "=")
		if !named || name == "" || i+1 >= len(parts) {
			return nil, eris.Wrapf(ErrUsage, "--route %q is not NAME=LISTEN,TARGET", strings.Join(parts[i:], ","))
		}
		routes = append(routes, routeFlag{name, listen, parts[i+1]})
	}
	return routes, nil
}
