// Package dflease decides on the host lease and on the ownership of slots. A
// slot lets its holder open connections to the upstreams of one database; each
// owner of a slot has its own epoch.
package dflease

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// HostRow is the value of a host's lease row.
type HostRow struct {
	Host        string
	Incarnation string
	Address     string
	// Admin is where operators reach the host.
	Admin      string `json:",omitempty"`
	DataCentre string
	// Renewal counts the renewals, so that each changes the row.
	Renewal uint64
}

// SlotRow is the value of a slot's row.
type SlotRow struct {
	// Host and Incarnation own the slot; they are empty if it was released.
	Host        string
	Incarnation string
	Address     string
	// Epoch rises by one with each owner.
	Epoch uint64
	// Cleared is the highest epoch of which no connection is left at any
	// upstream; Cleared <= Epoch.
	Cleared uint64
}

// HostKey returns the key of a host's lease row.
func HostKey(host string) string {
	return "host/" + host
}

// SlotPrefix returns the prefix of the keys of a group's slots.
func SlotPrefix(group dfgroup.ID) string {
	return "slot/" + string(group) + "/"
}

// SlotKey returns the key of a slot's row.
func SlotKey(group dfgroup.ID, index int) string {
	return SlotPrefix(group) + strconv.Itoa(index)
}

// ApplicationName names the connections of one owner of a slot. It is below
// PostgreSQL's limit of 63 bytes for every group name.
func ApplicationName(group dfgroup.ID, index int, epoch uint64) string {
	return fmt.Sprintf("dfslot-%016x-%d-%d", xxhash.Sum64String(string(group)), index, epoch)
}

// DecodeSlot reads a slot's row and returns its group and index.
func DecodeSlot(row dfplatform.Row) (dfgroup.ID, int, SlotRow, error) {
	rest, ok := strings.CutPrefix(row.Key, "slot/")
	cut := strings.LastIndexByte(rest, '/')
	if !ok || cut < 0 {
		return "", 0, SlotRow{}, eris.Errorf("lease: %q is not the key of a slot", row.Key)
	}
	index, err := strconv.Atoi(rest[cut+1:])
	if err != nil {
		return "", 0, SlotRow{}, eris.Errorf("lease: %q is not the key of a slot", row.Key)
	}
	var value SlotRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return "", 0, SlotRow{}, eris.Wrapf(err, "lease: decode %s", row.Key)
	}
	return dfgroup.ID(rest[:cut]), index, value, nil
}

// DecodeHost reads a host's lease row.
func DecodeHost(row dfplatform.Row) (HostRow, error) {
	var value HostRow
	err := json.Unmarshal(row.Value, &value)
	return value, eris.Wrapf(err, "lease: decode %s", row.Key)
}

// encode writes a row's value. The types have no field that can fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}

// earlierNames returns the application names of the epochs that may still have
// connections when the owner after the row takes over.
func earlierNames(group dfgroup.ID, index int, row SlotRow) []string {
	var names []string
	for epoch := row.Epoch; epoch > row.Cleared && len(names) < maxNames; epoch-- {
		names = append(names, ApplicationName(group, index, epoch))
	}
	return names
}
