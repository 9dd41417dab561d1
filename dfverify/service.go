package dfverify

import (
	"fmt"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
)

// serviceCheck collects the findings about one service file.
type serviceCheck struct {
	file     string
	lines    dfconfig.Lines
	findings []Finding
}

// CheckFiles returns the services of service files, in the order of the files, and the
// findings. There are no services if the files have errors.
func CheckFiles(files []dfconfig.File, bounds Bounds) ([]dfconfig.Service, []Finding) {
	services, diagnostics := dfconfig.Parse(files)
	if len(diagnostics) > 0 {
		return nil, Errors(diagnostics)
	}
	var findings []Finding
	for i, service := range services {
		c := &serviceCheck{file: files[i].Name, lines: files[i].Lines()}
		c.check(service, bounds)
		findings = append(findings, c.findings...)
	}
	return services, findings
}

func (c *serviceCheck) warn(key, message, suggestion string) {
	c.findings = append(c.findings, Finding{Warning, dfconfig.Diagnostic{
		File: c.file, Line: c.lines.Of(key), Key: key, Message: message, Suggestion: suggestion,
	}})
}

func (c *serviceCheck) check(service dfconfig.Service, bounds Bounds) {
	for _, hidden := range service.Hidden() {
		by := fmt.Sprintf("%s[%d]", hidden.List, hidden.By)
		c.warn(fmt.Sprintf("%s[%d]", hidden.List, hidden.Index),
			fmt.Sprintf("the entry has no effect, because %s at line %d covers it", by, c.lines.Of(by)), "remove one of the two")
	}
	c.checkAge("SessionMaxAge", service.SessionMaxAge, bounds.ReplicationLag)
	for i, rule := range service.Reads {
		if !rule.Strong && rule.MaxAge > 0 {
			c.checkAge(fmt.Sprintf("Reads[%d].MaxAge", i), rule.MaxAge, bounds.ReplicationLag)
		}
	}
	c.checkDeadline("Deadlines.Read", service.Deadlines.Read, bounds.CallerTime)
	c.checkDeadline("Deadlines.Write", service.Deadlines.Write, bounds.CallerTime)
}

func (c *serviceCheck) checkAge(key string, maxAge, lag dfclock.Millis) {
	if maxAge < lag {
		c.warn(key, fmt.Sprintf("the maximum staleness of %s is below the replication lag of %s", maxAge, lag), fmt.Sprintf("write at least %s", lag))
	}
}

func (c *serviceCheck) checkDeadline(key string, deadline, callerTime dfclock.Millis) {
	if callerTime > 0 && deadline > callerTime {
		c.warn(key, fmt.Sprintf("%s is above the time of the callers, %s", deadline, callerTime), fmt.Sprintf("write at most %s", callerTime))
	}
}
