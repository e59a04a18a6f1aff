// Package cli holds the commands of mintpulley-standin, one per stand-in.
package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitUsage = 2
)

const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// shutdownTimeout limits a graceful shutdown; after it, open connections
	// are closed.
	shutdownTimeout = time.Second
	// defaultListen is a free port on the loopback interface.
	defaultListen = "127.0.0.1:0"
)

// ErrUsage is wrapped by errors in flags.
var ErrUsage = eris.New("bad use")

// ExitCode maps a command's error to the exit code of the process.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	return ExitUsage
}

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "mintpulley-standin",
		Usage: "play the outside systems: engines, log, machine list, tools, weights, applications, network",
		Description: "Each command runs one stand-in until it is told to stop. It prints the line\n" +
			"\"listening ADDRESS\" on standard output once it answers. Faults are read with\n" +
			"GET /faults and set with PUT /faults while it runs; docs/PROTOCOLS.md lists them.",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			engineCommand(),
			logCommand(),
			machinesCommand(),
			toolCommand(),
			weightsCommand(),
			applicationCommand(),
			proxyCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: defaultListen, Usage: "answer on `IP:PORT`; port 0 takes a free one"}
}

// serve runs HTTP servers until the process receives a termination signal.
func serve(ctx context.Context, command *cli.Command, handlers ...endpoint) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, len(handlers))
	for _, item := range handlers {
		server, err := item.start(command.Root().Writer, failed)
		if err != nil {
			return err
		}
		defer closeServer(server)
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// endpoint is a handler with its address and the label printed before the
// address.
type endpoint struct {
	label   string
	address string
	handler http.Handler
}

func (l endpoint) start(out io.Writer, failed chan<- error) (*http.Server, error) {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return nil, eris.Wrapf(ErrUsage, "cannot listen on %s: %v", l.address, err)
	}
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	_, _ = fmt.Fprintf(out, "%s %s\n", l.label, listener.Addr())
	return server, nil
}

func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
