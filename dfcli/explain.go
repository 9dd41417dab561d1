package dfcli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfexplain"
)

// ExplainCommand prints the timeline of one request over all hosts.
type ExplainCommand struct {
	ID    string   `arg:"" help:"The request's identity as its caller sent it."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Logs of hosts, one file each; standard input without any."`
}

// Run reads the logs and prints what they say.
func (c *ExplainCommand) Run(env *environment) error {
	var logs dfexplain.Log
	if len(c.Files) == 0 {
		if err := logs.Read(env.in, "", c.ID); err != nil {
			return err
		}
	}
	for _, path := range c.Files {
		if err := readLog(&logs, path, c.ID); err != nil {
			return err
		}
	}
	explanation, err := logs.Explain(c.ID)
	if err != nil {
		return err
	}
	for _, line := range explanation.Lines {
		mark := " "
		if line.Request == c.ID {
			mark = ">"
		}
		fmt.Fprintf(env.out, "%s %s %-22s %s\n", mark, line.Clock(), line.Host, line.Text)
	}
	if explanation.LeftOut > 0 {
		fmt.Fprintf(env.out, "  %d earlier lines about the service are left out\n", explanation.LeftOut)
	}
	if logs.Unreadable > 0 {
		fmt.Fprintf(env.out, "  %d lines of the input are not lines of a host's log\n", logs.Unreadable)
	}
	fmt.Fprintf(env.out, "cause: %s\n", explanation.Cause)
	return nil
}

// readLog reads the log of one host, which is named like the file unless the
// log tells its name.
func readLog(logs *dfexplain.Log, path, request string) error {
	file, err := os.Open(path) // #nosec G304 -- the operator names the file
	if err != nil {
		return eris.Wrap(err, "explain: open")
	}
	defer file.Close()
	name := filepath.Base(path)
	return logs.Read(file, strings.TrimSuffix(name, filepath.Ext(name)), request)
}
