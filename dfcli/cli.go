// Package dfcli has the command line: every flag, its environment variable and
// its default stand here.
package dfcli

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	// exitWarnings and exitFaults are the codes of a check that has warnings only, and of
	// one that has errors.
	exitWarnings = exitFailed
	exitFaults   = exitUsage
	// exitUnknown means that the effect is not known.
	exitUnknown = 3
	// exitViolation means that a figure that must be zero is not.
	exitViolation = 4
	// exitConflict means that another publication changed the same service.
	exitConflict = 5
	// exitUnavailable means that the platform does not answer; nothing changed.
	exitUnavailable = 6
	// exitWaiting means that a version was accepted but is not in force
	// everywhere yet.
	exitWaiting = 7
)

// CLI is the whole command line.
type CLI struct {
	LogLevel string `help:"Lowest level of log lines: debug, info, warn or error." enum:"debug,info,warn,error" default:"warn"`

	Host    HostCommand    `cmd:"" help:"Run a host."`
	Edge    EdgeCommand    `cmd:"" help:"Run a host on a machine of the platform; its settings file tells the rest."`
	Demo    DemoCommand    `cmd:"" help:"Run hosts and stand-ins in one process, under load and faults."`
	Check   CheckCommand   `cmd:"" help:"Check service files, or a desired state, before it is sent."`
	Publish PublishCommand `cmd:"" help:"Put service files in force."`
	Status  StatusCommand  `cmd:"" help:"Show hosts, services, upstreams, slots and versions."`
	Audit   AuditCommand   `cmd:"" help:"Print and verify the audit trail."`
	Change  ChangeCommand  `cmd:"" help:"Move the lead of a database away from its present primary."`
	Changes ChangesCommand `cmd:"" help:"Measure changes of primary of each kind under load."`
	Load    LoadCommand    `cmd:"" help:"Drive hosts or upstreams with load and check the answers."`
	Explain ExplainCommand `cmd:"" help:"Print what the logs of hosts say of one request, and the cause of its outcome."`
	Standin StandinCommand `cmd:"" help:"Run a stand-in of an outside system."`

	Completion CompletionCommand `cmd:"" help:"Print a script that completes commands in bash."`
	Capacity   CapacityCommand   `cmd:"" help:"Measure how the cost of each role grows and remake the tables of docs/CAPACITY.md."`
}

// environment is what commands get besides their flags.
type environment struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	// model describes the command line.
	model *kong.Application
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(&environment{ctx: ctx, in: os.Stdin, out: os.Stdout}, arguments)
}

func run(env *environment, arguments []string) int {
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
	env.model = parser.Model
	if err := parsed.Run(env); err != nil {
		fmt.Fprintln(os.Stderr, "dragonflygrade:", err)
		return exitCode(err)
	}
	return exitOK
}

// usageError is a fault of flags or files.
type usageError struct{ error }

// findingsError means that a check has findings.
type findingsError struct {
	error
	// onlyWarnings is true if there are no errors.
	onlyWarnings bool
}

// waitError is a version that is not in force everywhere.
type waitError struct{ error }

// violationError names figures that must be zero and are not.
type violationError struct{ error }

func exitCode(err error) int {
	var usage usageError
	var violation violationError
	var waiting waitError
	var findings findingsError
	var failure *dfresult.Error
	switch {
	case errors.As(err, &findings) && findings.onlyWarnings:
		return exitWarnings
	case errors.As(err, &findings):
		return exitFaults
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &violation):
		return exitViolation
	case errors.As(err, &waiting):
		return exitWaiting
	case errors.As(err, &failure):
		return resultCode(failure.Code)
	}
	return exitFailed
}

func resultCode(code dfresult.Code) int {
	switch {
	case code == dfresult.ConfigurationInvalid:
		return exitUsage
	case code == dfresult.ConfigurationConflict:
		return exitConflict
	case code == dfresult.PlatformUnavailable:
		return exitUnavailable
	case code.Outcome() == dfresult.Unknown:
		return exitUnknown
	}
	return exitFailed
}
