// Package dfverify checks a configuration before it is sent: service files, and drafts of
// the desired state. Keys of organisations are named by their index and never appear in
// what it returns.
package dfverify

import (
	"fmt"
	"slices"
	"strings"

	"dragonflygrade/dfconfig"
)

// Severity is how much a finding matters.
type Severity string

const (
	// Error marks what hosts refuse, or what serves nobody.
	Error Severity = "error"
	// Warning marks what hosts accept but what is likely a mistake.
	Warning Severity = "warning"
)

// Finding is an error or a warning at a place in a file.
type Finding struct {
	Severity Severity
	dfconfig.Diagnostic
}

// String formats the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s", f.Severity, f.Diagnostic)
}

// Report has the findings and what differs from the version in force. It is immutable.
type Report struct {
	// Files is how many files were checked.
	Files            int
	Errors, Warnings int
	// Findings are sorted by file and line.
	Findings []Finding
	// Changes are sorted by key.
	Changes []dfconfig.KeyChange
}

// NewReport returns a report without findings.
func NewReport(files int) Report {
	return Report{Files: files, Findings: []Finding{}, Changes: []dfconfig.KeyChange{}}
}

// WithFindings returns the report with further findings.
func (r Report) WithFindings(findings []Finding) Report {
	r.Findings = append(slices.Clone(r.Findings), findings...)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		return a.Line - b.Line
	})
	for _, finding := range findings {
		if finding.Severity == Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	return r
}

// WithChanges returns the report with further changes.
func (r Report) WithChanges(changes []dfconfig.KeyChange) Report {
	r.Changes = append(slices.Clone(r.Changes), changes...)
	slices.SortStableFunc(r.Changes, func(a, b dfconfig.KeyChange) int { return strings.Compare(a.Key, b.Key) })
	return r
}

// String formats the report with one line per finding and change.
func (r Report) String() string {
	var text strings.Builder
	for _, finding := range r.Findings {
		fmt.Fprintln(&text, finding)
	}
	for _, change := range r.Changes {
		fmt.Fprintln(&text, change)
	}
	fmt.Fprintf(&text, "%d files, %d errors, %d warnings, %d differences\n", r.Files, r.Errors, r.Warnings, len(r.Changes))
	return text.String()
}

// Errors returns diagnostics as findings.
func Errors(diagnostics dfconfig.Diagnostics) []Finding {
	findings := make([]Finding, len(diagnostics))
	for i, diagnostic := range diagnostics {
		findings[i] = Finding{Error, diagnostic}
	}
	return findings
}
