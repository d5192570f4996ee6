package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"

	"arbutusfront.dev/arbutus-lab/cluster"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/transport/network"
	"arbutusfront.dev/common/transport/wait"
)

const (
	backendSuffix = "-backend"

	pollPeriod  = 500 * time.Millisecond
	pollTimeout = 400 * time.Millisecond

	// commandAttempts and commandPause bound the attempts to put a target back into service.
	commandAttempts = 20
	commandPause    = 500 * time.Millisecond

	// maxDescriptors and maxMemoryKiB are far above what a process needs in this deployment:
	// exceeding them indicates a leak.
	maxDescriptors = 400
	maxMemoryKiB   = 256 << 10
)

// checkRevisions polls each process's configuration revision until ctx is canceled. It records
// a revision that decreases within one incarnation as a violation.
func (h *harness) checkRevisions(ctx context.Context) {
	client := peer.NewClient(network.System().HTTP2Client())
	last := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, name := range h.processNames() {
			instance, revision, ok := h.dump(ctx, client, name)
			key := fmt.Sprintf("%s/%d", name, instance)
			if ok && revision < last[key] {
				h.records.addViolationf("%s went back from revision %d to %d", name, last[key], revision)
			}
			if ok {
				last[key] = revision
			}
		}
		wait.For(ctx, pollPeriod)
	}
}

// dump reads a process's instance and revision from its dump. ok is false if the process
// doesn't respond within pollTimeout, or if its dump can't be parsed. It records a dump that
// can't be parsed as a violation.
func (h *harness) dump(ctx context.Context, c *peer.Client, name string) (instance, revision uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	b, err := c.Dump(ctx, h.cluster.ControlAddress(name))
	if err != nil {
		// A process that is down or paused doesn't respond.
		return 0, 0, false
	}
	var d struct {
		Self     struct{ Instance uint64 } `json:"self"`
		Revision uint64                    `json:"revision"`
	}
	if err := json.Unmarshal(b, &d); err != nil {
		h.records.addViolationf("%s returned a dump that can't be parsed: %v", name, err)
		return 0, 0, false
	}
	return d.Self.Instance, d.Revision, true
}

// collectRuns records which requests each backend server ran.
func (h *harness) collectRuns(ctx context.Context) {
	for _, name := range h.targets.servers {
		h.collectRunsOf(ctx, name)
	}
}

// collectRunsOf records what one backend server ran, and checks that all of it was for its
// own service. A Host header without a port, as clients may send for port 80, is not checked.
func (h *harness) collectRunsOf(ctx context.Context, name string) {
	var ran, hosts map[string]int
	if !h.fetch(ctx, name, "/ran", &ran) || !h.fetch(ctx, name, "/hosts", &hosts) {
		return
	}
	h.records.recordRuns(name, ran)
	for host := range hosts {
		if at, err := netip.ParseAddrPort(host); err == nil && at != h.endpointOf(name) {
			h.records.addViolationf("%s ran a request for the endpoint of another service, %s", name, host)
		}
	}
}

// endpointOf returns the address and port of the server's service, or the zero AddrPort
// if the configuration has no such service.
func (h *harness) endpointOf(name string) netip.AddrPort {
	for _, s := range h.cfg.Services {
		if s.Name == h.servers[name].Service {
			return s.Endpoint()
		}
	}
	return netip.AddrPort{}
}

// freshRuns returns how many requests the server has run that had a flow of their own, or
// -1 if it doesn't respond.
func (h *harness) freshRuns(ctx context.Context, name string) int {
	var ran map[string]int
	if !h.fetch(ctx, name, "/ran", &ran) {
		return -1
	}
	n := 0
	for id := range ran {
		if isFresh(id) {
			n++
		}
	}
	return n
}

// fetch decodes the JSON at a path of a backend server's stand-in into the value, and
// reports whether that succeeded.
func (h *harness) fetch(ctx context.Context, name, path string, into any) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.cluster.BackendAddress(name).String()+path, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.UnmarshalRead(response.Body, into) == nil
}

// checkProcesses records processes that exited unexpectedly or leak resources.
func (h *harness) checkProcesses() {
	for _, name := range h.processNames() {
		p, ok := h.process(name)
		if !ok {
			continue
		}
		if p.Ended() {
			h.records.addViolationf("%s exited unexpectedly", name)
			continue
		}
		descriptors, memory, err := resourceUsage(p)
		if err != nil {
			h.records.addViolationf("%s: %v", name, err)
		}
		if descriptors > maxDescriptors || memory > maxMemoryKiB {
			h.records.addViolationf("%s has %d open descriptors and %d KiB of resident memory", name, descriptors, memory)
		}
	}
}

// resourceUsage returns a process's number of open descriptors and resident memory in KiB.
func resourceUsage(p *cluster.Process) (descriptors, memoryKiB int, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.ID()))
	entries, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return 0, 0, err
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, err = fmt.Sscanf(rest, "%d", &memoryKiB)
		}
	}
	return len(entries), memoryKiB, err
}
