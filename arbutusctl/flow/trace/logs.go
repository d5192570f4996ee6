package trace

import (
	"bufio"
	"context"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	keyTime    = "time"
	keyEvent   = "event"
	keyLevel   = "level"
	keyCaller  = "caller"
	keyService = "service"
	keyAgent   = "agent"
	keyName    = "name"

	// memberEventPrefix begins the names of the events about a member. Their key "name"
	// contains the member's name. It is usually not the process that logged the line.
	memberEventPrefix = "member"

	// maxLineBytes bounds a line, with its newline. All lines that the programs log are
	// shorter.
	maxLineBytes = 64 << 10
)

type (
	// Field is one key=value pair of a log line.
	Field struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	}

	// Entry is one parsed log line. Process is the name of the process that logged it. Fields
	// contains all pairs but time, event and level.
	Entry struct {
		Time    time.Time `json:"time"`
		Process string    `json:"process"`
		Event   string    `json:"event"`
		// OfFlow is set if the line is about the traced flow, rather than context from a
		// process that was involved.
		OfFlow bool    `json:"of_flow"`
		Fields []Field `json:"fields"`
		// Explanation is why the flow was refused or deferred, if the line is about that.
		Explanation string `json:"explanation,omitempty"`
	}

	// Logs are the parsed log lines of several processes, and the number of all lines read.
	Logs struct {
		entries   []Entry
		lineCount int
	}
)

// processOf returns the name of the process that a log file is named after: its base name
// without the extension.
func processOf(file string) string {
	base := filepath.Base(file)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

// Read parses the log of the process and adds its lines. Lines in another format are skipped,
// but counted. It returns ctx's error if ctx is canceled, the reader's error, or
// bufio.ErrTooLong for a line of 64 KiB or more.
func (l *Logs) Read(ctx context.Context, process string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for s.Scan() {
		if err := ctx.Err(); err != nil {
			return err
		}
		l.lineCount++
		if e, ok := parse(process, s.Text()); ok {
			l.entries = append(l.entries, e)
		}
	}
	return s.Err()
}

// LineCount returns the number of lines read, including those that were skipped.
func (l *Logs) LineCount() int { return l.lineCount }

// parse parses one line, which may begin with a prefix added by a log collector. The last
// field of the prefix replaces process as the name of the process. It reports false if the
// line lacks a valid time or an event, or is not in logfmt.
func parse(process, line string) (Entry, bool) {
	at := strings.Index(line, keyTime+"=")
	if at < 0 {
		return Entry{}, false
	}
	if prefix := strings.Fields(line[:at]); len(prefix) > 0 {
		process = prefix[len(prefix)-1]
	}
	e := Entry{Process: process}
	d := logfmt.NewDecoder(strings.NewReader(line[at:]))
	if !d.ScanRecord() {
		return Entry{}, false
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case keyTime:
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Entry{}, false
			}
			e.Time = t
		case keyEvent:
			e.Event = value
		case keyLevel:
		default:
			e.Fields = append(e.Fields, Field{Key: key, Value: value})
		}
	}
	return e, d.Err() == nil && e.Event != "" && !e.Time.IsZero()
}

// Timeline returns the lines of the caller's flows to the service, in order of time, with
// explanations of refusals. Unless
// around is 0, it also returns context: events logged by the processes involved in these
// flows, at most around before or after one of the flows' lines. Events of other flows and of
// uninvolved members are left out.
func (l *Logs) Timeline(caller, service netip.AddrPort, around time.Duration) []Entry {
	var timeline []Entry
	involved := make(map[string]bool)
	for _, e := range l.entries {
		if e.matches(caller, service) {
			e.OfFlow = true
			timeline = append(timeline, e)
			involved[e.Process] = true
			involved[e.value(keyAgent)] = true
		}
	}
	sortByTime(timeline)
	explainRefusals(timeline)
	if len(timeline) == 0 || around == 0 {
		return timeline
	}
	ofFlow := slices.Clone(timeline)
	for _, e := range l.entries {
		if involved[e.Process] && e.isContext(involved) && isNear(ofFlow, e.Time, around) {
			timeline = append(timeline, e)
		}
	}
	sortByTime(timeline)
	return timeline
}

// isNear reports whether the time of one of the entries differs from t by at most around.
// The entries must be in order of time.
func isNear(entries []Entry, t time.Time, around time.Duration) bool {
	i, _ := slices.BinarySearchFunc(entries, t.Add(-around), func(e Entry, t time.Time) int { return e.Time.Compare(t) })
	return i < len(entries) && !entries[i].Time.After(t.Add(around))
}

func sortByTime(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
}

// value returns the value of the key, or "" if the line doesn't contain it.
func (e Entry) value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// matches reports whether the line is about a flow of the caller to the service. Caller port
// 0 matches all ports, and an invalid service matches all services.
func (e Entry) matches(caller, service netip.AddrPort) bool {
	a, err := netip.ParseAddrPort(e.value(keyCaller))
	if err != nil || a.Addr() != caller.Addr() || caller.Port() != 0 && a.Port() != caller.Port() {
		return false
	}
	return !service.IsValid() || e.value(keyService) == service.String()
}

// isContext reports whether the line is context to the flow: a member event about an involved
// process, or an event that is about no flow and no member.
func (e Entry) isContext(involved map[string]bool) bool {
	if strings.HasPrefix(e.Event, memberEventPrefix) {
		return involved[e.value(keyName)]
	}
	return e.value(keyCaller) == ""
}
