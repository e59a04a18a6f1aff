package command

import (
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/operator"
)

// Values of --format.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// Errors of the operators' commands.
var (
	errFormat    = eris.New("--format: want table or json")
	errNoDaemon  = eris.New("--daemon: name at least one daemon's HTTP address IP:PORT, or set MINTPULLEY_DAEMON")
	errNoKey     = eris.New("--key-file: give the file with your operator key, or set MINTPULLEY_OPERATOR_KEY")
	errArguments = eris.New("wrong number of arguments")
)

// clientFlags select the daemons to ask, the operator key and the output format.
func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "daemon", Usage: "`IP:PORT` of a daemon; repeat it to try others in turn", Sources: cli.EnvVars("MINTPULLEY_DAEMON")},
		&cli.StringFlag{Name: "key", Hidden: true, Usage: "operator `KEY`", Sources: cli.EnvVars("MINTPULLEY_OPERATOR_KEY")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator key; or set MINTPULLEY_OPERATOR_KEY", TakesFile: true},
		formatFlag(),
	}
}

func withClientFlags(more ...cli.Flag) []cli.Flag { return append(clientFlags(), more...) }

// clientOf returns a client for the daemons and the key given by flags.
func clientOf(command *cli.Command) (*operator.Client, error) {
	addresses := command.StringSlice("daemon")
	if len(addresses) == 0 {
		return nil, errNoDaemon
	}
	key := command.String("key")
	if path := command.String("key-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "--key-file")
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, errNoKey
	}
	return operator.NewClient(addresses, key), nil
}

// output is where and in which format a command prints its result.
type output struct {
	writer io.Writer
	json   bool
}

func outputOf(command *cli.Command) (output, error) {
	format := command.String("format")
	if format != formatTable && format != formatJSON {
		return output{}, errFormat
	}
	return output{writer: command.Root().Writer, json: format == formatJSON}, nil
}

// write prints a value as JSON, or calls text to print it for people.
func write[Value any](o output, value Value, text func(io.Writer, Value) error) error {
	if !o.json {
		return text(o.writer, value)
	}
	encoder := json.NewEncoder(o.writer)
	return eris.Wrap(encoder.Encode(value), "write output")
}

// newTable returns a table without borders that prints to w.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(header)
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	t.SetStyle(style)
	return t
}

// clientAndOutput returns the client and the output given by flags.
func clientAndOutput(command *cli.Command) (*operator.Client, output, error) {
	o, err := outputOf(command)
	if err != nil {
		return nil, o, err
	}
	client, err := clientOf(command)
	return client, o, err
}
