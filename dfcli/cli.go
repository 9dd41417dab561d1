// Package dfcli has the command line: every flag, its environment variable and
// its default stand here.
package dfcli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"dragonflygrade/dfresult"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that the command failed without an effect.
	exitFailed = 1
	// exitUsage means that flags or files are wrong.
	exitUsage = 2
	// exitUnknown means that the effect is not known.
	exitUnknown = 3
	// exitViolation means that a figure that must be zero is not.
	exitViolation = 4
)

// CLI is the whole command line.
type CLI struct {
	LogLevel string `help:"Lowest level of log lines: debug, info, warn or error." enum:"debug,info,warn,error" default:"warn"`

	Host     HostCommand     `cmd:"" help:"Run a host."`
	Demo     DemoCommand     `cmd:"" help:"Run hosts and stand-ins in one process, under load and faults."`
	Load     LoadCommand     `cmd:"" help:"Drive hosts or upstreams with load and check the answers."`
	Standin  StandinCommand  `cmd:"" help:"Run a stand-in of an outside system."`
	Capacity CapacityCommand `cmd:"" help:"Measure how the cost of each role grows and remake the tables of docs/CAPACITY.md."`
}

// environment is what commands get besides their flags.
type environment struct {
	ctx context.Context
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(arguments []string) int {
	var cli CLI
	parser, err := kong.New(&cli,
		kong.Name("dragonflygrade"),
		kong.Description("A database proxy with session consistency."),
		kong.DefaultEnvars("DRAGONFLYGRADE"),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dragonflygrade:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dragonflygrade:", err)
		fmt.Fprintln(os.Stderr, "dragonflygrade: run the command with --help for its flags")
		return exitUsage
	}
	log.DefaultLogger.Level = log.ParseLevel(cli.LogLevel)
	log.DefaultLogger.Writer = &log.IOWriter{Writer: os.Stderr}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := parsed.Run(&environment{ctx: ctx}); err != nil {
		fmt.Fprintln(os.Stderr, "dragonflygrade:", err)
		return exitCode(err)
	}
	return exitOK
}

// usageError is a fault of flags or files.
type usageError struct{ error }

// violationError names figures that must be zero and are not.
type violationError struct{ error }

func exitCode(err error) int {
	var usage usageError
	var violation violationError
	var failure *dfresult.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &violation):
		return exitViolation
	case errors.As(err, &failure) && failure.Code.Outcome() == dfresult.Unknown:
		return exitUnknown
	}
	return exitFailed
}
