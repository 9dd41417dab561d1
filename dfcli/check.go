package dfcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfpublish"
	"dragonflygrade/dfverify"
	"dragonflygrade/platform"
)

// CheckCommand checks a configuration before it is sent.
type CheckCommand struct {
	Files          []string      `arg:"" help:"Service files, directories that are searched for *.toml, or JSON documents of the desired state."`
	Against        string        `help:"Version in force to compare with: service files or a directory of them, or a desired state."`
	ReplicationLag time.Duration `help:"Usual lag of replicas, which a maximum staleness should exceed; 0 does not check it." default:"0s"`
	CallerTime     time.Duration `help:"Time after which callers give up, which a statement timeout should not exceed; 0 does not check it." default:"0s"`
	JSON           bool          `help:"Print one JSON object."`
}

// configuration is what the given files contain.
type configuration struct {
	// services has the service files, and drafts the documents of the desired state.
	services, drafts []dfconfig.File
}

// readConfiguration reads files and directories.
func readConfiguration(paths []string) (configuration, error) {
	files, err := dfpublish.Collect(paths)
	if err != nil {
		return configuration{}, usageError{err}
	}
	var read configuration
	for _, file := range files {
		if filepath.Ext(file.Name) == ".cbor" {
			return configuration{}, usageError{eris.Errorf("check: %s: a desired state is a JSON document", file.Name)}
		}
		if filepath.Ext(file.Name) == ".json" || bytes.HasPrefix(bytes.TrimSpace(file.Data), []byte("{")) {
			read.drafts = append(read.drafts, file)
			continue
		}
		read.services = append(read.services, file)
	}
	return read, nil
}

// comparesWith reports whether the configuration in force can be compared with a checked
// one: both have service files only, or one desired state each.
func (c configuration) comparesWith(checked configuration) bool {
	if len(c.drafts) > 0 {
		return len(c.drafts) == 1 && len(checked.drafts) == 1 && len(c.services)+len(checked.services) == 0
	}
	return len(checked.drafts) == 0 && len(c.services) > 0
}

// Run checks the files.
func (c *CheckCommand) Run(env *environment) error {
	if c.ReplicationLag < 0 || c.CallerTime < 0 {
		return usageError{eris.New("check: --replication-lag and --caller-time must not be negative")}
	}
	checked, err := readConfiguration(c.Files)
	if err != nil {
		return err
	}
	var inForce configuration
	if c.Against != "" {
		if inForce, err = readConfiguration([]string{c.Against}); err != nil {
			return err
		}
		if !inForce.comparesWith(checked) {
			return usageError{eris.New("check: --against needs service files for service files, and one desired state for one desired state")}
		}
	}
	bounds := dfverify.Bounds{
		ReplicationLag: dfclock.Millis(c.ReplicationLag.Milliseconds()), CallerTime: dfclock.Millis(c.CallerTime.Milliseconds()),
	}
	report := dfverify.NewReport(len(checked.services) + len(checked.drafts))
	if report, err = checkServices(report, checked.services, inForce.services, bounds); err != nil {
		return err
	}
	if report, err = checkDrafts(report, checked.drafts, inForce.drafts, bounds); err != nil {
		return err
	}
	if err := c.print(env, report); err != nil {
		return err
	}
	if len(report.Findings) == 0 {
		return nil
	}
	return findingsError{eris.Errorf("check: %d errors, %d warnings", report.Errors, report.Warnings), report.Errors == 0}
}

func (c *CheckCommand) print(env *environment, report dfverify.Report) error {
	if !c.JSON {
		_, err := fmt.Fprint(env.out, report)
		return err
	}
	encoder := json.NewEncoder(env.out)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(report)
}

// checkServices checks service files and compares them with those in force.
func checkServices(report dfverify.Report, files, inForce []dfconfig.File, bounds dfverify.Bounds) (dfverify.Report, error) {
	services, findings := dfverify.CheckFiles(files, bounds)
	report = report.WithFindings(findings)
	before, diagnostics := dfconfig.Parse(inForce)
	if len(diagnostics) > 0 {
		return report, usageError{eris.Errorf("check: the version in force has faults\n%s", diagnostics)}
	}
	if len(services) == 0 || len(inForce) == 0 {
		return report, nil
	}
	from, fromDocuments, err := snapshotOf(before)
	if err != nil {
		return report, err
	}
	to, toDocuments, err := snapshotOf(services)
	if err != nil {
		return report, err
	}
	from.Version, to.Version = 1, 2
	// Services without a file are not removed by a publication.
	for name := range dfconfig.NewDifference(from, to).Changed {
		report = report.WithChanges(serviceChanges(name, fromDocuments[name], toDocuments[name]))
	}
	return report, nil
}

// snapshotOf returns the index of services, and their documents by name.
func snapshotOf(services []dfconfig.Service) (dfconfig.Index, map[string][]byte, error) {
	var index dfconfig.Index
	documents := map[string][]byte{}
	for _, service := range services {
		document, err := dfconfig.Encode(service)
		if err != nil {
			return index, nil, err
		}
		documents[service.Name] = document
		index = index.WithService(service.Name, dfconfig.ContentAddress(document))
	}
	return index, documents, nil
}

func serviceChanges(name string, from, to []byte) []dfconfig.KeyChange {
	changes := dfpublish.KeyChanges(from, to)
	for i := range changes {
		changes[i].Key = fmt.Sprintf("Services[%s].%s", name, changes[i].Key)
	}
	return changes
}

// checkDrafts checks documents of the desired state and compares one with that in force.
func checkDrafts(report dfverify.Report, files, inForce []dfconfig.File, bounds dfverify.Bounds) (dfverify.Report, error) {
	for _, file := range files {
		draft, diagnostics := platform.DecodeDraft(file)
		if len(diagnostics) > 0 {
			report = report.WithFindings(dfverify.Errors(diagnostics))
			continue
		}
		report = report.WithFindings(dfverify.CheckDraft(draft, bounds))
		for _, other := range inForce {
			before, diagnostics := platform.DecodeDraft(other)
			if len(diagnostics) > 0 {
				return report, usageError{eris.Errorf("check: the version in force has faults\n%s", diagnostics)}
			}
			report = report.WithFindings(dfverify.CheckSuccession(before, draft)).WithChanges(dfverify.Difference(before, draft))
		}
	}
	return report, nil
}
