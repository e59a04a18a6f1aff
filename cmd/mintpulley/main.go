// Command mintpulley is the scheduler: its daemon, the operators' commands, and
// the tools that simulate, test and measure it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/mintpulley/mintpulley/internal/command"
)

func main() {
	err := command.New().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mintpulley:", err)
	}
	os.Exit(command.ExitCode(err))
}
