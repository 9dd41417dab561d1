// Package dflease maintains the host lease and the ownership of slots. A slot
// entitles its owner, or holder, to open connections to the upstreams of one
// database. Each owner of a slot has its own epoch.
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
	// Admin is the address of the host's operator interface.
	Admin      string `json:",omitempty"`
	DataCentre string
	// Renewal counts the renewals, so that each one changes the row.
	Renewal uint64
}

// SlotRow is the value of a slot's row.
type SlotRow struct {
	// Host and Incarnation identify the owner. They are empty if the slot was
	// released.
	Host        string
	Incarnation string
	Address     string
	// Epoch increases with each owner, by one within an era of the table; see nextEpoch.
	Epoch uint64
	// Cleared is the highest epoch up to which no connections are left at any
	// upstream. Cleared <= Epoch.
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

// ApplicationName returns the application name of connections that one owner of
// a slot opens. The group is hashed to stay within PostgreSQL's limit of 63 bytes.
func ApplicationName(group dfgroup.ID, index int, epoch uint64) string {
	return applicationPrefix(group, index) + strconv.FormatUint(epoch, 10)
}

// applicationPrefix returns what the application names of all owners of a slot have in
// common. It has no character that is special in a pattern.
func applicationPrefix(group dfgroup.ID, index int) string {
	return fmt.Sprintf("dfslot-%016x-%d-", xxhash.Sum64String(string(group)), index)
}

// eraEpochs is the number of epochs of a slot in one era of the table.
const eraEpochs = 1 << 40

// nextEpoch returns the epoch of the next owner of a slot. If the table came back from
// an older copy, the row may lack later owners, so each era has epochs of its own. The
// first era has those below eraEpochs.
func nextEpoch(epoch, era uint64) uint64 {
	if first := era * eraEpochs; era > 1 && epoch < first {
		return first + 1
	}
	return epoch + 1
}

// lacksOwners reports whether the row may lack owners between Cleared and Epoch that
// have connections, because the table came back from an older copy between them.
func (r SlotRow) lacksOwners() bool {
	return r.Epoch/eraEpochs > r.Cleared/eraEpochs
}

// DecodeSlot reads a slot's row and returns its group and index.
func DecodeSlot(row dfplatform.Row) (dfgroup.ID, int, SlotRow, error) {
	rest, ok := strings.CutPrefix(row.Key, "slot/")
	separator := strings.LastIndexByte(rest, '/')
	if !ok || separator < 0 {
		return "", 0, SlotRow{}, eris.Errorf("lease: %q is not the key of a slot", row.Key)
	}
	index, err := strconv.Atoi(rest[separator+1:])
	if err != nil {
		return "", 0, SlotRow{}, eris.Errorf("lease: %q is not the key of a slot", row.Key)
	}
	var value SlotRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return "", 0, SlotRow{}, eris.Wrapf(err, "lease: decode %s", row.Key)
	}
	return dfgroup.ID(rest[:separator]), index, value, nil
}

// DecodeHost reads a host's lease row.
func DecodeHost(row dfplatform.Row) (HostRow, error) {
	var value HostRow
	err := json.Unmarshal(row.Value, &value)
	return value, eris.Wrapf(err, "lease: decode %s", row.Key)
}

// encode returns the JSON of a row's value. HostRow and SlotRow have no field
// whose encoding can fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}

// earlierNames returns the application names of epochs up to that of the row
// which may still have connections, the latest first.
func earlierNames(group dfgroup.ID, index int, row SlotRow) []string {
	var names []string
	for epoch := row.Epoch; epoch > row.Cleared && len(names) < maxEarlierNames; epoch-- {
		names = append(names, ApplicationName(group, index, epoch))
	}
	return names
}
