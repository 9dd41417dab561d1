package dfdemo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhost"
	"dragonflygrade/dfstandinplatform"
)

// restoredInForce bounds the time from the restore until a publication is accepted and
// in force. It allows for the platform's absence beside the 4 s of a publication.
const restoredInForce = 8 * time.Second

// publishLimit publishes a connection limit for one service.
func (s *Stack) publishLimit(t *testing.T, group, limit int) uint64 {
	t.Helper()
	s.deployment.ConnectionLimit = limit
	text, err := s.serviceText(s.groups[group])
	require.NoError(t, err)
	published, err := s.publishFiles(context.Background(), []dfconfig.File{{Name: "changed.toml", Data: text}})
	require.NoError(t, err)
	return published.Version
}

// awaitVersion waits until a version is in force on every host.
func (s *Stack) awaitVersion(t *testing.T, version uint64, bound time.Duration) {
	t.Helper()
	for _, host := range s.hosts {
		require.Eventually(t, func() bool { return host.Status().Version >= version }, bound, 2*time.Millisecond)
	}
}

// Guards against a publication that was confirmed and is lost, and against one that no
// host puts in force, because the platform came back with an older head.
func TestPublicationsSurviveARestore(t *testing.T) {
	stack := newTestStack(t, 6, time.Second)
	stack.awaitVersion(t, 1, patience)
	older := stack.store.TakeCopy()
	stack.awaitVersion(t, stack.publishLimit(t, 0, 14), patience)
	stack.store.Restore(older)
	started := time.Now()
	stack.awaitVersion(t, stack.publishLimit(t, 1, 13), patience)
	require.Less(t, time.Since(started), restoredInForce)
	// The limits 14 and 13 are shares of 4 and 3.
	require.Eventually(t, func() bool { return stack.share(0) == 4 && stack.share(1) == 3 }, patience, 20*time.Millisecond)
}

// Guards against a host that starts after the restore and serves an older version than
// the others, because only the restored head tells it one.
func TestRestoredHeadIsBroughtForward(t *testing.T) {
	for name, hasHead := range map[string]bool{"older": true, "absent": false} {
		t.Run(name, func(t *testing.T) { testRestoredHead(t, hasHead) })
	}
}

func testRestoredHead(t *testing.T, hasHead bool) {
	t.Helper()
	stack := newTestStack(t, 4, time.Second)
	var older dfstandinplatform.Copy
	if hasHead {
		older = stack.store.TakeCopy()
	}
	version := stack.publishLimit(t, 0, 14)
	stack.awaitVersion(t, version, patience)
	stack.store.Restore(older)
	require.Eventually(t, func() bool {
		row, err := stack.store.Get(context.Background(), dfconfig.HeadKey)
		if err != nil {
			return false
		}
		head, err := dfconfig.DecodeHead(row.Value)
		return err == nil && head.Version == version
	}, patience, 20*time.Millisecond)
	lonely := stack.settings[0]
	lonely.ID, lonely.Seeds = "lonely", nil
	lonely.CallerAddress, lonely.PeerAddress, lonely.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	alone, err := dfhost.New(lonely)
	require.NoError(t, err)
	require.NoError(t, alone.Start(context.Background()))
	defer alone.Kill()
	require.Eventually(t, func() bool { return alone.Status().Version == version }, patience, 20*time.Millisecond)
}

// Guards against an audit trail with a hole: its later segments follow segments that
// the platform lost.
func TestAuditTrailSurvivesARestore(t *testing.T) {
	stack := newTestStack(t, 4, time.Second)
	_, err := stack.verifyAudit(context.Background())
	require.NoError(t, err)
	older := stack.store.TakeCopy()
	stack.awaitVersion(t, stack.publishLimit(t, 0, 14), patience)
	before, err := stack.verifyAudit(context.Background())
	require.NoError(t, err)
	stack.store.Restore(older)
	stack.awaitVersion(t, stack.publishLimit(t, 1, 13), patience)
	require.Eventually(t, func() bool {
		after, err := stack.verifyAudit(context.Background())
		return err == nil && after > before
	}, patience, 100*time.Millisecond)
	requireRecorded(t, stack, dfaudit.KindAdoption, "in force")
}

// slotTerm is one owner's time in a slot.
type slotTerm struct {
	group dfgroup.ID
	slot  int
	epoch uint64
}

// recordOwners records which host owns which slot, and checks that no other host owned
// it under the same epoch.
func (s *Stack) recordOwners(t *testing.T, owners map[slotTerm]string) {
	t.Helper()
	for _, host := range s.hosts {
		status := host.Status()
		for _, held := range status.Groups {
			term := slotTerm{held.Group, held.Slot, held.Epoch}
			if owner, known := owners[term]; known {
				require.Equal(t, owner, status.Host, "%v", term)
			}
			owners[term] = status.Host
		}
	}
}

// busiest returns the host that owns the most slots.
func (s *Stack) busiest() int {
	busiest := 0
	for i, host := range s.hosts {
		if len(host.Status().Groups) > len(s.hosts[busiest].Status().Groups) {
			busiest = i
		}
	}
	return busiest
}

// Guards against two owners of a slot under one epoch, whose connections no upstream
// can tell apart, and against more connections than the limit.
func TestSlotEpochsAreNotGivenOutAgain(t *testing.T) {
	stack := newTestStack(t, 7, 9*time.Second)
	older := stack.store.TakeCopy()
	owners := map[slotTerm]string{}
	stack.underLoad(t, func() {
		stack.hosts[stack.busiest()].Kill()
		require.Eventually(t, func() bool { return stack.heldSlots() == stack.slots() }, patience, 20*time.Millisecond)
		stack.recordOwners(t, owners)
		stack.store.Restore(older)
		for _, host := range stack.hosts {
			for _, held := range host.Status().Groups {
				if held.Epoch > 1 {
					host.Kill()
				}
			}
		}
		require.Eventually(t, func() bool {
			stack.recordOwners(t, owners)
			return stack.heldSlots() == stack.slots()
		}, patience, 20*time.Millisecond)
	})
	stack.requireLimits(t)
}
