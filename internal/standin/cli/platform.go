package cli

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/standin/eventlog"
	"github.com/mintpulley/mintpulley/internal/standin/machinelist"
	"github.com/mintpulley/mintpulley/internal/standin/weights"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "the platform's append-only log",
		UsageText: "mintpulley-standin log --listen 127.0.0.1:8100 --replica 127.0.0.1:8101 --replica-lag 3s\n" +
			"   curl -X PUT 127.0.0.1:8100/faults -d '{\"lose_append_answers\":0.5}'\n" +
			"   curl -X PUT 127.0.0.1:8100/faults -d '{\"down\":true}'\n" +
			"   curl 127.0.0.1:8100/streams/configuration",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "replica", Usage: "answer on `IP:PORT` as a reader replica too"},
			&cli.DurationFlag{Name: "replica-lag", Usage: "how far the replica is behind"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			log := eventlog.New()
			if err := log.Faults.Set(eventlog.Faults{ReplicaLag: control.Duration(command.Duration("replica-lag"))}); err != nil {
				return err
			}
			handlers := []endpoint{{"listening", command.String("listen"), log}}
			if command.IsSet("replica") {
				handlers = append(handlers, endpoint{"replica", command.String("replica"), log.Replica()})
			}
			return serve(ctx, command, handlers...)
		},
	}
}

func machinesCommand() *cli.Command {
	return &cli.Command{
		Name:  "machines",
		Usage: "the platform's lagging list of live and leaving machines",
		UsageText: "mintpulley-standin machines --listen 127.0.0.1:8200 --file machines.json --lag 2s\n" +
			"   curl -X PUT 127.0.0.1:8200/machines/127.0.0.1:8000 -d '{\"kind\":\"engine\",\"zone\":\"zone-a\",\"region\":\"r\",\"state\":\"leaving\"}'\n" +
			"   curl -X PUT 127.0.0.1:8200/faults -d '{\"frozen\":true}'",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "file", Usage: "begin with the list in `FILE`, a JSON array of machines"},
			&cli.DurationFlag{Name: "lag", Usage: "how long a change takes to show"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			machines, err := readMachines(command.String("file"))
			if err != nil {
				return err
			}
			list := machinelist.New(machines, command.Duration("lag"))
			return serve(ctx, command, endpoint{"listening", command.String("listen"), list})
		},
	}
}

func readMachines(file string) ([]structs.Machine, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	var machines []structs.Machine
	if err := json.Unmarshal(data, &machines); err != nil {
		return nil, eris.Wrapf(ErrUsage, "%s: %v", file, err)
	}
	return machines, nil
}

// defaultWeightRate is the store's rate in bytes per second.
const defaultWeightRate = 2_000_000_000

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "the platform's rate-limited weight store",
		UsageText: "mintpulley-standin weights --listen 127.0.0.1:8300 --rate 2000000000\n" +
			"   curl '127.0.0.1:8300/weights/small?bytes=16000000000'\n" +
			"   curl -X PUT 127.0.0.1:8300/faults -d '{\"bytes_per_second\":500000000}'",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Int64Flag{Name: "rate", Value: defaultWeightRate, Usage: "give out `BYTES` each second to all readers together"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Int64("rate") < 1 {
				return eris.Wrap(ErrUsage, "--rate must be at least 1")
			}
			return serve(ctx, command, endpoint{"listening", command.String("listen"), weights.New(command.Int64("rate"))})
		},
	}
}
