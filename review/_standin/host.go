package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ports are the ports of all hosts. Each host has an address of its own.
const (
	portCallers = 8784
	portReady   = 8785
	portControl = 8782
	portFirst   = 7440
	portLast    = 7455
)

// gracePeriod is grace-period-s.
const gracePeriod = 6 * time.Second

// settings are the values of the settings file that differ between cases.
type settings struct {
	descriptors, memoryMB                  int
	stableMs, drainMs, recoveryS, configMs int
	// contracts and bounds are lines that deployments with organisations add.
	contracts, bounds string
}

// host is a machine that runs the program as the deploy file says.
type host struct {
	record   *record
	program  string
	dir      string
	name     string
	zone     string
	ip       string
	settings settings
	// limitDescriptors applies settings.descriptors to the process.
	limitDescriptors bool

	mu      sync.Mutex
	command *exec.Cmd
	// startedAt is when the process was last started.
	startedAt time.Time
}

func (h *host) callers() string { return fmt.Sprintf("%s:%d", h.ip, portCallers) }

// writeSettings writes the settings file, with the fields of the users' pages.
func (h *host) writeSettings(s *store, zones []string, seeds []*host) error {
	var seedList, zoneTable []string
	for _, seed := range seeds {
		seedList = append(seedList, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, portControl)))
	}
	for _, zone := range zones {
		zoneTable = append(zoneTable, fmt.Sprintf("%s = \"region\"", zone))
	}
	text := fmt.Sprintf(`node = %q
role = "edge"
machine-class = "frontend"
serves = ["frontend","control_plane"]
ip-address = %q
zone = %q
region = "region"
internal-port-range = [%d,%d]
seeds = [%s]
bootstrap = true
counts-toward-tolerance = false
discovery = "platform"
entry-point = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"%s]
[zones]
%s
[listen-addresses]
frontend = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.4
cpu-cores = 1
memory-mb = %d
max-file-descriptors = %d
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-delay-s = 2
stable-window-ms = %d
ack-timeout-ms = 5000
catch-up-s = 4
drain-timeout-ms = %d
grace-period-s = 6
loss-slack-ms = 200
config-apply-ms = %d
rollback-slack-ms = 250
max-stretch-ms = 12000
recovery-s = %d
fencing-enforced = true
thaw-slack-ms = 300
%s[platform]
address = %q
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 6.0
part-writes-per-s = 200
max-row-bytes = 65536
across = false
history-retention-s = 20
[cloud-api]
address = %q
requests-per-s = 50.0
duties = ["promotion"]
duty-per-s = 50.0
`, h.name, h.ip, h.zone, portFirst, portLast, strings.Join(seedList, ","), h.settings.contracts, strings.Join(zoneTable, "\n"),
		h.ip, portCallers, h.ip, portReady, h.ip, portControl, h.settings.memoryMB, h.settings.descriptors,
		h.settings.stableMs, h.settings.drainMs, h.settings.configMs, h.settings.recoveryS, h.settings.bounds, s.address, s.address)
	return os.WriteFile(h.path("toml"), []byte(text), 0o600)
}

func (h *host) path(suffix string) string {
	return filepath.Join(h.dir, h.name+"."+suffix)
}

// start starts the process.
func (h *host) start() error {
	output, err := os.OpenFile(h.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(h.program, "edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C", "DRAGONFLYGRADE_BOOT=" + h.path("toml")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	h.command, h.startedAt = command, time.Now()
	if h.limitDescriptors {
		limit := uint64(h.settings.descriptors)
		if err := unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil); err != nil {
			return err
		}
	}
	h.record.printf("%s: process started", h.name)
	return nil
}

// leave stops the process with SIGTERM, and with SIGKILL after the grace period.
func (h *host) leave() {
	h.mu.Lock()
	command := h.command
	h.mu.Unlock()
	if command == nil {
		return
	}
	h.record.printf("%s: SIGTERM", h.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(gracePeriod, func() { _ = command.Process.Kill() })
	_ = command.Wait()
	late.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = nil
	h.record.printf("%s: process ended", h.name)
}

// kill ends the process with SIGKILL.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	_ = h.command.Process.Kill()
	_ = h.command.Wait()
	h.command = nil
	h.record.printf("%s: process killed", h.name)
}

// started returns when the process was last started.
func (h *host) started() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startedAt
}

var probe = http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the readiness address, as the platform does.
func (h *host) ready() bool {
	response, err := probe.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// descriptors counts the open descriptors of the process.
func (h *host) descriptors() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}
