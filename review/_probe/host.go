package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machine is an entry machine on which the project's program runs as a process.
type machine struct {
	name, zone, ip string
	settings       string
	logPath        string
	frontend       string
	readiness      string
	command        *exec.Cmd
	exited         chan struct{}
}

// ports are the same on all machines.
type ports struct{ frontend, readiness, control, internal int }

// portTries bounds the search for ports. Metrics always use the same port, so it fails
// where another program has that.
const portTries = 50

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) ports {
	for range portTries {
		var found []int
		for len(found) < 4 {
			listener, err := net.Listen("tcp4", ips[0]+":0")
			check(err)
			found = append(found, listener.Addr().(*net.TCPAddr).Port)
			_ = listener.Close()
		}
		p := ports{found[0], found[1], found[2], found[3]}
		if p.free(ips) {
			return p
		}
	}
	check(errors.New("no free ports"))
	return ports{}
}

func (p ports) free(ips []string) bool {
	for _, ip := range ips {
		for _, port := range []int{p.frontend, p.readiness, p.control, p.internal, p.internal + 1, 9180} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// newMachine writes the settings of a machine, with the fields and figures of csci-pool.
func newMachine(dir, name, zone, ip string, p ports, seeds []string, store, cloud string) *machine {
	m := &machine{name: name, zone: zone, ip: ip, settings: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
		frontend: fmt.Sprintf("%s:%d", ip, p.frontend), readiness: fmt.Sprintf("%s:%d", ip, p.readiness)}
	seedList := ""
	for _, seed := range seeds {
		seedList += fmt.Sprintf("\"%s:%d\",", seed, p.control)
	}
	text := fmt.Sprintf(`node = %q
role = "edge"
machine-class = "frontend"
serves = ["frontend","control_plane"]
ip-address = %q
zone = %q
region = "sicilia"
internal-port-range = [%d,%d]
seeds = [%s]
bootstrap = true
counts-toward-tolerance = false
discovery = "platform"
entry-point = "virtual_ip"
heartbeat-interval-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
catania = "sicilia"
palermo = "sicilia"
trapani = "sicilia"
[listen-addresses]
frontend = %q
readiness = %q
control = "%s:%d"
[limits]
cpu-share = 0.4
cpu-cores = 1
memory-mb = 284
max-file-descriptors = 4300
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-delay-s = 2
stable-window-ms = 4000
ack-timeout-ms = 5000
catch-up-s = 4
drain-timeout-ms = 7000
grace-period-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-stretch-ms = 12000
recovery-s = 12
fencing-enforced = true
thaw-slack-ms = 300
[platform]
address = %q
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 6.0
part-writes-per-s = 200
max-row-bytes = 65536
across = false
history-retention-s = 20
max-blob-bytes = 8388608
blob-timeout-ms = 25.0
blob-mb-per-s = 80.0
[cloud-api]
address = %q
requests-per-s = 50.0
duties = ["promotion"]
duty-per-s = 50.0
`, name, ip, zone, p.internal, p.internal+15, seedList, m.frontend, m.readiness, ip, p.control, store, cloud)
	check(os.WriteFile(m.settings, []byte(text), 0o600))
	return m
}

// start starts the program with the command of the deploy file.
func (m *machine) start(program string) {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.command = exec.Command(program, "edge")
	m.command.Env = []string{"DRAGONFLYGRADE_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(m.command.Start())
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(m.command, m.exited)
}

func (m *machine) kill() {
	if m.command != nil {
		_ = m.command.Process.Kill()
		<-m.exited
	}
}

// ready asks the machine as the platform does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
