package trace

import (
	"bytes"
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"arbutusfront.dev/arbutusctl/session"
	"arbutusfront.dev/common/command"
)

var update = flag.Bool("update", false, "rewrite the golden files with the actual output")

// runTrace runs the flow command and returns its exit code and its combined output.
func runTrace(in io.Reader, terminal bool, args ...string) (int, string) {
	var out bytes.Buffer
	streams := command.Streams{In: in, Out: &out, Err: &out, OutIsTerminal: terminal}
	c := New(session.New(streams), nil)
	f := flag.NewFlagSet("flow", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c.SetFlags(f)
	if err := f.Parse(args); err != nil {
		return int(command.ExitUsage), err.Error()
	}
	return int(c.Execute(context.Background(), f)), out.String()
}

// compareGolden compares got with the named golden file. With -update, it first writes the file.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	g, path := NewWithT(t), filepath.Join("testdata", name)
	if *update {
		g.Expect(os.WriteFile(path, []byte(got), 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(string(want)))
}

// TestTraceRecordedLogs traces the three kinds of failed requests that docs/OPERATIONS.md
// describes, in logs recorded on the users' platform. It guards against traces that miss the
// line in which the cause is seen: a silent server, a burst of requests, or a power loss.
func TestTraceRecordedLogs(t *testing.T) {
	for _, name := range []string{"silent_server", "burst", "power_loss"} {
		t.Run(name, func(t *testing.T) {
			log, err := os.ReadFile(filepath.Join("testdata", name+".log"))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			first, rest, _ := strings.Cut(string(log), "\n")
			caller := strings.TrimPrefix(first, "# caller ")
			code, out := runTrace(strings.NewReader(rest), true, "trace", caller)
			NewWithT(t).Expect(code).To(Equal(0), out)
			compareGolden(t, name+".golden", out)
		})
	}
}

const (
	logTime   = "time=2026-06-01T10:00:00."
	sampleLog = logTime + "100Z level=info event=flow_admitted caller=192.0.2.7:4001 service=198.18.0.1:443\n" +
		logTime + "050Z level=info event=started name=desk-1\n" +
		logTime + `120Z level=info event=flow_reset caller=192.0.2.7:4002 service=198.18.0.2:443 reason="bad \"x\""` + "\n" +
		"not a line\n" +
		"time=yesterday event=broken\n"
)

// TestTraceFilesAndFormats guards against wrong selection of lines by caller, service and time,
// and against broken output as columns and as JSON. The log has its lines out of order, a
// quoted value, and two lines that can't be parsed and must be skipped.
func TestTraceFilesAndFormats(t *testing.T) {
	g, dir := NewWithT(t), t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(dir, "desk-1.log"), []byte(sampleLog), 0o600)).To(Succeed())
	file := filepath.Join(dir, "desk-1.log")
	code, out := runTrace(nil, false, "trace", "192.0.2.7:4001", file)
	g.Expect(code).To(Equal(0))
	g.Expect(out).To(Equal("2026-06-01T10:00:00.050Z\t\tdesk-1\tstarted\tname=desk-1\n" +
		"2026-06-01T10:00:00.100Z\t*\tdesk-1\tflow_admitted\tcaller=192.0.2.7:4001 service=198.18.0.1:443\n"))
	_, out = runTrace(nil, false, "trace", "192.0.2.7", "--around", "0s", file)
	g.Expect(strings.Count(out, "\n")).To(Equal(2), "an address without a port selects all ports of the caller")
	_, out = runTrace(nil, false, "trace", "192.0.2.7", "--around", "0s", "--service", "198.18.0.2:443", file)
	g.Expect(out).To(ContainSubstring("flow_reset"))
	g.Expect(strings.Count(out, "\n")).To(Equal(1))
	code, out = runTrace(nil, false, "trace", "192.0.2.7:4002", "--around", "0s", "--json", file)
	g.Expect(code).To(Equal(0))
	g.Expect(out).To(ContainSubstring(`"of_flow": true`))
	g.Expect(out).To(ContainSubstring(`bad \"x\"`))
}

// TestTraceErrors guards against wrong exit codes, and against messages that don't say how to
// correct the arguments.
func TestTraceErrors(t *testing.T) {
	for _, c := range []struct {
		args []string
		code command.ExitCode
		text string
	}{
		{[]string{"trace"}, command.ExitUsage, "see arbutusctl help flow"},
		{[]string{"watch", "192.0.2.7"}, command.ExitUsage, "see arbutusctl help flow"},
		{[]string{"trace", "nobody"}, command.ExitUsage, "is not a caller's address"},
		{[]string{"trace", "192.0.2.7", "--service", "443"}, command.ExitUsage, "is not an address and port"},
		{[]string{"trace", "192.0.2.7", "--around", "-1s"}, command.ExitUsage, "can't be negative"},
		{[]string{"trace", "192.0.2.7", "no-such-file.log"}, command.ExitUsage, "give the names of log files"},
		{[]string{"trace", "192.0.2.8:1"}, command.ExitFailure, "no line of 192.0.2.8:1 among 5"},
	} {
		code, out := runTrace(strings.NewReader(sampleLog), false, c.args...)
		g := NewWithT(t)
		g.Expect(code).To(Equal(int(c.code)), out)
		g.Expect(out).To(ContainSubstring(c.text))
	}
}
