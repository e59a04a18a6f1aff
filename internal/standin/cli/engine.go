package cli

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/standin/engine"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine with OpenAI's dialect and the scheduler's extension",
		UsageText: "mintpulley-standin engine --listen 127.0.0.1:8000 --model small\n" +
			"   mintpulley-standin engine --model small --model large --profile fast --weights 127.0.0.1:8300\n" +
			"   curl -X PUT 127.0.0.1:8000/faults -d '{\"slowness\":4,\"event_loss\":0.33}'\n" +
			"   curl -X PUT 127.0.0.1:8000/faults -d '{\"draining\":true}'\n" +
			"   curl -X POST 127.0.0.1:8000/restart",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{Name: "model", Usage: "hold this `MODEL` from the start; may be given again"},
			&cli.StringFlag{Name: "role", Value: string(structs.RoleBoth), Usage: "`ROLE`: prefill, decode or both"},
			&cli.StringFlag{Name: "profile", Value: "8b", Usage: "`PROFILE` of speed: 8b (an 8-billion-parameter model) or fast (for tests)"},
			&cli.StringFlag{Name: "weights", Usage: "read weights from the store at `IP:PORT`; without it loads take no time"},
			&cli.Int64Flag{Name: "cache-tokens", Usage: "size of the block cache in `TOKENS`"},
			&cli.Int64Flag{Name: "answer-tokens", Usage: "length of an answer in `TOKENS` unless the prompt has [[tokens=N]]"},
			&cli.IntFlag{Name: "maximum-running", Usage: "largest batch"},
			&cli.Int64Flag{Name: "step-tokens", Usage: "bound of one step in `TOKENS`, decoded and prefilled; above the largest batch"},
			&cli.DurationFlag{Name: "step-base", Usage: "time of a step whatever its batch"},
			&cli.DurationFlag{Name: "step-per-sequence", Usage: "time added for each sequence that decodes"},
			&cli.DurationFlag{Name: "prefill-per-token", Usage: "time added for each prompt token computed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the cache events that are lost"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, command *cli.Command) error {
	settings, err := engineSettings(command)
	if err != nil {
		return err
	}
	return serve(ctx, command, endpoint{"listening", command.String("listen"), engine.New(settings)})
}

func engineSettings(command *cli.Command) (engine.Settings, error) {
	settings := engine.DefaultSettings()
	switch command.String("profile") {
	case "fast":
	case "8b":
		settings.Parameters = enginemodel.Default()
		settings.Parameters.CoalescedSteps = 1
	default:
		return settings, eris.Wrapf(ErrUsage, "--profile %q is neither 8b nor fast", command.String("profile"))
	}
	settings.Role = structs.EngineRole(command.String("role"))
	switch settings.Role {
	case structs.RolePrefill, structs.RoleDecode, structs.RoleBoth:
	default:
		return settings, eris.Wrapf(ErrUsage, "--role %q is not prefill, decode or both", settings.Role)
	}
	for _, model := range command.StringSlice("model") {
		settings.Models = append(settings.Models, structs.ModelName(model))
	}
	settings.WeightStore = command.String("weights")
	settings.Seed = command.Uint64("seed")
	override(command, &settings.Parameters)
	if err := settings.Parameters.Validate(); err != nil {
		return settings, err
	}
	if settings.Parameters.StepTokens <= int64(settings.Parameters.MaximumRunning) {
		return settings, eris.Wrap(ErrUsage, "--step-tokens must be above --maximum-running: a full batch would leave no room for prompts")
	}
	return settings, nil
}

// override applies the parameters given as flags.
func override(command *cli.Command, parameters *enginemodel.Parameters) {
	overrideOne(command, "cache-tokens", command.Int64, &parameters.CacheTokens)
	overrideOne(command, "answer-tokens", command.Int64, &parameters.AnswerTokens)
	overrideOne(command, "maximum-running", command.Int, &parameters.MaximumRunning)
	overrideOne(command, "step-tokens", command.Int64, &parameters.StepTokens)
	overrideOne(command, "step-base", command.Duration, &parameters.StepBase)
	overrideOne(command, "step-per-sequence", command.Duration, &parameters.StepPerSequence)
	overrideOne(command, "prefill-per-token", command.Duration, &parameters.PrefillPerToken)
}

func overrideOne[T any](command *cli.Command, name string, read func(string) T, parameter *T) {
	if command.IsSet(name) {
		*parameter = read(name)
	}
}
