package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/operator"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// defaultProgramLimit is the default of --limit.
const defaultProgramLimit = 50

const programArgument = "TENANT:PROGRAM"

func programsCommand() *cli.Command {
	return &cli.Command{
		Name:  "programs",
		Usage: "inspect programs through any daemon",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list programs, live ones first",
				Description: `Examples:
  mintpulley programs list --daemon 10.0.0.1:7001
  mintpulley programs list --daemon 10.0.0.1:7001 --tenant tally-north --limit 10`,
				Flags: withClientFlags(
					&cli.StringFlag{Name: "tenant", Usage: "only programs of this `TENANT`"},
					&cli.IntFlag{Name: "limit", Value: defaultProgramLimit, Usage: "`NUMBER` of programs"},
				),
				Action: runProgramsList,
			},
			{
				Name:      "show",
				Usage:     "show a program's budget, calls and holds",
				ArgsUsage: programArgument,
				Description: `Examples:
  mintpulley programs show --daemon 10.0.0.1:7001 tally-north:summary-17
  mintpulley programs show --daemon 10.0.0.1:7001 --history tally-north:summary-17/lookup`,
				Flags:  withClientFlags(&cli.BoolFlag{Name: "history", Usage: "also print the conversation"}),
				Action: runProgramsShow,
			},
			{
				Name:      "explain",
				Usage:     "list every decision on a program and its reason",
				ArgsUsage: programArgument,
				Description: `Examples:
  mintpulley programs explain --daemon 10.0.0.1:7001 tally-north:summary-17`,
				Flags:  clientFlags(),
				Action: runProgramsExplain,
			},
		},
	}
}

func runProgramsList(_ context.Context, command *cli.Command) error {
	client, o, err := clientAndOutput(command)
	if err != nil {
		return err
	}
	programs, err := client.Programs(structs.TenantName(command.String("tenant")), command.Int("limit"))
	if err != nil {
		return err
	}
	return write(o, programs, writePrograms)
}

func writePrograms(w io.Writer, programs operator.Programs) error {
	t := newTable(w, "program", "template", "state", "started", "turns", "spent", "reserved", "budget", "open", "holds", "engine")
	for _, p := range programs.Programs {
		t.AppendRow(row(p.Key, p.Template, stateOf(p), p.StartedAt.Format(time.RFC3339), p.Turns, p.Spent, p.Reserved, p.Budget, p.OpenCalls, p.Holds, p.LastEngine))
	}
	t.Render()
	if _, err := fmt.Fprintf(w, "%d of %d programs\n", len(programs.Programs), programs.Total); err != nil {
		return err
	}
	for _, daemon := range programs.Unresponsive {
		if _, err := fmt.Fprintf(w, "Daemon %s did not answer; programs of its shards are missing.\n", daemon); err != nil {
			return err
		}
	}
	return nil
}

func stateOf(p dispatch.ProgramSummary) string {
	if p.Ended {
		return "ended: " + string(p.EndReason)
	}
	return "live"
}

// fetchProgram asks a daemon for the program named by the command's argument.
func fetchProgram(command *cli.Command, history bool) (dispatch.ProgramDescription, output, error) {
	var none dispatch.ProgramDescription
	client, o, err := clientAndOutput(command)
	if err != nil {
		return none, o, err
	}
	tenant, id, named := strings.Cut(command.Args().First(), ":")
	if !named || command.Args().Len() != 1 {
		return none, o, eris.Wrapf(errArguments, "want %s", programArgument)
	}
	key := structs.ProgramKey{Tenant: structs.TenantName(tenant), Program: structs.ProgramID(id)}
	description, err := client.Program(key, history)
	return description, o, err
}

func runProgramsShow(_ context.Context, command *cli.Command) error {
	description, o, err := fetchProgram(command, command.Bool("history"))
	if err != nil {
		return err
	}
	return write(o, description, writeProgram)
}

func writeProgram(w io.Writer, p dispatch.ProgramDescription) error {
	_, err := fmt.Fprintf(w, "%s  template %s  priority %d  %s\nshard %d  epoch %d  turns %d  history %d messages, %d tokens\nbudget %d  spent %d  reserved %d\n",
		p.Key, p.Template, p.Priority, stateOf(p.ProgramSummary), p.Shard, p.Epoch, p.Turns, p.HistoryMessages, p.HistoryTokens, p.Budget, p.Spent, p.Reserved)
	if err != nil {
		return err
	}
	calls := newTable(w, "sequence", "request", "kind", "state", "reason", "back end", "charged", "reserved")
	for _, call := range p.Settled {
		calls.AppendRow(row(call.Sequence, call.RequestID, call.Kind, call.Status, call.Reason, "", call.Charged, ""))
	}
	for _, call := range p.Open {
		calls.AppendRow(row(call.Sequence, call.RequestID, call.Kind, call.Stage, "", call.BackEnd, "", call.Reserved))
	}
	calls.Render()
	for _, hold := range p.Held {
		if _, err := fmt.Fprintf(w, "holds %d tokens at %s (%s)\n", hold.Tokens, hold.Engine, hold.ID); err != nil {
			return err
		}
	}
	for _, message := range p.History {
		if _, err := fmt.Fprintf(w, "%s: %s\n", message.Role, message.Content); err != nil {
			return err
		}
	}
	return nil
}

func runProgramsExplain(_ context.Context, command *cli.Command) error {
	description, o, err := fetchProgram(command, false)
	if err != nil {
		return err
	}
	return write(o, description.Decisions, writeDecisions)
}

func writeDecisions(w io.Writer, decisions []structs.Decision) error {
	t := newTable(w, "at", "request", "step", "detail")
	for _, decision := range decisions {
		t.AppendRow(row(decision.At.Format("15:04:05.000"), decision.RequestID, decision.Step, decision.Detail))
		for _, score := range decision.Scores {
			t.AppendRow(row("", "", "score", fmt.Sprintf("%s %s %.3f s", score.Engine, score.Scorer, score.Score)))
		}
	}
	t.Render()
	return nil
}
