package dfstandin

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfstandingroup"
	"dragonflygrade/dfstandinstore"
)

// everyone stands for all peers and all clients in a partition.
const everyone dfgroup.UpstreamID = "*"

// faults is the state of the faults that hold on until they are healed.
type faults struct {
	mu     sync.Mutex
	paused bool
	cut    map[dfgroup.UpstreamID]bool
	// opened is closed and replaced whenever a fault ends.
	opened chan struct{}
}

func (f *faults) change(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
	close(f.opened)
	f.opened = make(chan struct{})
}

func (f *faults) isCut(peer dfgroup.UpstreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[peer] || f.cut[everyone]
}

// running waits while the upstream is paused; false means that it ended.
func (f *faults) running(ctx context.Context) bool {
	return f.await(ctx.Done(), func() bool { return f.paused })
}

func (f *faults) await(ended <-chan struct{}, held func() bool) bool {
	for {
		f.mu.Lock()
		wait, opened := held(), f.opened
		f.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-opened:
		case <-ended:
			return false
		}
	}
}

// Pause stops all work without closing anything, as SIGSTOP does.
func (u *Upstream) Pause() {
	u.faults.change(func() { u.faults.paused = true })
}

// Resume ends Pause.
func (u *Upstream) Resume() {
	u.faults.change(func() { u.faults.paused = false })
}

// Crash closes all connections and refuses new ones. The flushed log stays.
func (u *Upstream) Crash() {
	u.halt()
}

// Restart runs a crashed upstream again, with its former role and address.
func (u *Upstream) Restart() error {
	return u.run()
}

// Partition cuts the links to the given peers, besides those already cut.
// Without peers it cuts the links to everyone, clients included.
func (u *Upstream) Partition(peers ...dfgroup.UpstreamID) {
	u.faults.change(func() {
		for _, peer := range peers {
			u.faults.cut[peer] = true
		}
		if len(peers) == 0 {
			u.faults.cut[everyone] = true
		}
	})
}

// Heal ends pauses and partitions.
func (u *Upstream) Heal() {
	u.faults.change(func() {
		u.faults.paused = false
		clear(u.faults.cut)
	})
}

// Silence makes the open ordinary connections carry nothing more in either
// direction, without closing them. New connections work.
func (u *Upstream) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.connections {
		if s, ok := c.Socket().(*socket); ok && !c.Control() {
			s.silent.Store(true)
		}
	}
}

// SetLag changes the two replication delays.
func (u *Upstream) SetLag(flush, apply dfclock.Millis) {
	u.group.SetDelays(flush, apply)
}

// SetWrong puts a deliberate error in force.
func (u *Upstream) SetWrong(wrong dfstandingroup.Wrong) {
	u.group.SetWrong(wrong)
}

// Fault runs a fault command: "pause", "resume", "crash", "crash:milliseconds"
// (with a restart after that span), "partition",
// "partition:peer,peer", "heal", "silent", "lag:apply", "lag:flush,apply" or
// "wrong:" with the name of a deliberate error.
func (u *Upstream) Fault(command string) error {
	return u.fault(command, func(crash func()) { crash() })
}

// fault runs a command whose crash waits for what later waits for: the
// connection that asked for it still gets its answer.
func (u *Upstream) fault(command string, later func(crash func())) error {
	name, argument, _ := strings.Cut(command, ":")
	switch name {
	case "pause":
		u.Pause()
	case "resume":
		u.Resume()
	case "crash":
		return u.crashCommand(argument, later)
	case "heal":
		u.Heal()
	case "silent":
		u.Silence()
	case "partition":
		u.Partition(peerIDs(argument)...)
	case "lag":
		return u.lagCommand(argument)
	case "wrong":
		return u.wrongCommand(dfstandingroup.Wrong(argument))
	default:
		return dfstandinstore.Errorf(dfstandingroup.CodeRefused, "fault %q is not known", command)
	}
	return nil
}

func peerIDs(list string) []dfgroup.UpstreamID {
	if list == "" {
		return nil
	}
	var peers []dfgroup.UpstreamID
	for _, peer := range strings.Split(list, ",") {
		peers = append(peers, dfgroup.UpstreamID(strings.TrimSpace(peer)))
	}
	return peers
}

// crashCommand returns before the crash, because a connection of this upstream
// may run it and ends first.
func (u *Upstream) crashCommand(argument string, later func(crash func())) error {
	restart, err := int64(0), error(nil)
	if argument != "" {
		restart, err = strconv.ParseInt(argument, 10, 64)
	}
	if err != nil || restart < 0 {
		return dfstandinstore.Errorf(dfstandingroup.CodeRefused, "fault crash: %q is not a span in milliseconds", argument)
	}
	later(func() { go u.crashFor(dfclock.Millis(restart), argument != "") })
	return nil
}

func (u *Upstream) crashFor(down dfclock.Millis, restarts bool) {
	u.Crash()
	if !restarts {
		return
	}
	time.Sleep(span(down))
	if err := u.Restart(); err != nil {
		log.Error().Str("Upstream", string(u.options.ID)).Err(err).Msg("standin: no restart")
	}
}

func (u *Upstream) wrongCommand(wrong dfstandingroup.Wrong) error {
	switch wrong {
	case dfstandingroup.WrongNone, dfstandingroup.WrongApplied, dfstandingroup.WrongFlushed, dfstandingroup.WrongLose, dfstandingroup.WrongDouble:
		u.SetWrong(wrong)
		return nil
	}
	return dfstandinstore.Errorf(dfstandingroup.CodeRefused, "fault wrong: %q is not known", wrong)
}

func (u *Upstream) lagCommand(argument string) error {
	flushText, applyText, both := strings.Cut(argument, ",")
	if !both {
		flushText, applyText = "0", argument
	}
	flush, err := strconv.ParseInt(flushText, 10, 64)
	if err != nil || flush < 0 {
		return dfstandinstore.Errorf(dfstandingroup.CodeRefused, "fault lag: %q is not a span in milliseconds", flushText)
	}
	apply, err := strconv.ParseInt(applyText, 10, 64)
	if err != nil || apply < 0 {
		return dfstandinstore.Errorf(dfstandingroup.CodeRefused, "fault lag: %q is not a span in milliseconds", applyText)
	}
	u.SetLag(dfclock.Millis(flush), dfclock.Millis(apply))
	return nil
}
