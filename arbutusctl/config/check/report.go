package check

import (
	"cmp"
	"fmt"
	"strings"

	"arbutusfront.dev/arbutusctl/config/rules"
)

// Parts that may not be checked.
const (
	partDifferences = "differences from the configuration in force"
	partAgents      = "drained backend servers and running agents"
	partCosts       = "learned costs of requests"
)

type (
	// report is the result of a check. Revision is the number of the revision in force: 0 if there is
	// none, null if it is not known.
	report struct {
		Errors      int                `json:"errors"`
		Warnings    int                `json:"warnings"`
		Findings    []rules.Finding    `json:"findings"`
		Revision    *uint64            `json:"revision"`
		Differences []rules.Difference `json:"differences"`
		NotChecked  []skipped          `json:"not_checked"`
	}

	// skipped is a part that was not checked.
	skipped struct {
		Part   string `json:"part"`
		Reason string `json:"reason"`
	}
)

// skip records that a part was not checked.
func (r *report) skip(part, reason string) {
	r.NotChecked = append(r.NotChecked, skipped{part, reason})
}

// print prints the result: as JSON, or as one line for each finding, some for each difference, and on
// a terminal a summary.
func (o *Options) print(r report) error {
	for _, f := range r.Findings {
		if f.Severity == rules.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	if o.Session.JSON {
		return o.Session.Streams.PrintJSON(r)
	}
	var b strings.Builder
	for _, f := range r.Findings {
		b.WriteString(findingLine(f))
	}
	for _, d := range r.Differences {
		writeDifference(&b, d)
	}
	for i := 0; i < len(r.NotChecked); {
		reason, parts := r.NotChecked[i].Reason, []string(nil)
		for ; i < len(r.NotChecked) && r.NotChecked[i].Reason == reason; i++ {
			parts = append(parts, r.NotChecked[i].Part)
		}
		fmt.Fprintf(&b, "not checked (%s): %s\n", reason, strings.Join(parts, ", "))
	}
	if o.Session.Streams.OutIsTerminal {
		b.WriteString(r.summary())
	}
	_, err := fmt.Fprint(o.Session.Streams.Out, b.String())
	return err
}

// findingLine returns the line of a finding: place, severity, entry, path, detail, remedy and rule.
func findingLine(f rules.Finding) string {
	parts := []string{place(f.File, f.Line), string(f.Severity)}
	if f.Entry != "" {
		parts = append(parts, f.Entry)
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	line := strings.Join(parts, ": ") + ": " + f.Detail + "; " + f.Remedy
	if f.Severity == rules.Warning {
		line += " [" + f.Rule + "]"
	}
	return line + "\n"
}

// writeDifference writes a difference: a line with place, kind and entry, one for each changed value
// unless the whole entry was added or removed, and one for each effect.
func writeDifference(b *strings.Builder, d rules.Difference) {
	fmt.Fprintf(b, "%s: %s: %s\n", place(d.File, d.Line), d.Kind, d.Entry)
	if d.Kind == rules.Changed {
		for _, c := range d.Changes {
			fmt.Fprintf(b, "  %s: %s -> %s\n", c.Path, cmp.Or(c.From, "-"), cmp.Or(c.To, "-"))
		}
	}
	for _, e := range d.Effects {
		fmt.Fprintf(b, "  open flows %s: %s\n", outcomes(e), e.Detail)
	}
}

// outcomes returns what becomes of open flows, by mode if that differs.
func outcomes(e rules.Effect) string {
	texts := map[rules.Outcome]string{
		rules.Continue: "continue", rules.SomeReset: "are reset in part", rules.Reset: "are reset",
		rules.NoAnswer: "get no answer",
	}
	if e.Terminating == e.PassThrough {
		return texts[e.Terminating]
	}
	return fmt.Sprintf("%s (terminating mode), %s (pass-through mode)", texts[e.Terminating], texts[e.PassThrough])
}

// place returns the file and, if known, the line.
func place(file string, line int) string {
	if file == "" {
		return "in force"
	}
	if line == 0 {
		return file
	}
	return fmt.Sprintf("%s:%d", file, line)
}

// summary returns the line with the numbers of what was found.
func (r report) summary() string {
	text := fmt.Sprintf("%s, %s", counted(r.Errors, "error"), counted(r.Warnings, "warning"))
	if r.Revision != nil {
		text += fmt.Sprintf(", %s from revision %d", counted(len(r.Differences), "difference"), *r.Revision)
	}
	return text + "\n"
}

// counted returns the number with the noun in the singular or plural.
func counted(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}
