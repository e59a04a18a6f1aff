// Command mintpulley-standin runs stand-ins for the systems outside the fleet, so
// that a fleet can be run and tested on one machine.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/mintpulley/mintpulley/internal/standin/cli"
)

func main() {
	err := cli.New().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mintpulley-standin:", err)
	}
	os.Exit(cli.ExitCode(err))
}
