package dfhost

import (
	"context"
	"errors"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfplatform"
)

// confirmDelay is the time from the first look at a restored head until a host brings
// it forward. Meanwhile the host learns of later versions from its peers.
const confirmDelay = 2 * dfclock.Second

// unconfirmedHead is a head that may be from an older copy of the platform's store.
type unconfirmedHead struct {
	// era is the platform's era, or 0 if no such head was seen.
	era    uint64
	seenAt dfclock.Millis
}

// confirmHead brings the head forward to the version in force, which is not lower, if
// the platform came back from an older copy since the head was written or lost later
// heads. Publishers wait for it. Row and head are zero if there is no head.
func (a *adoption) confirmHead(ctx context.Context, row dfplatform.Row, head dfconfig.Head) error {
	era := a.host.settings.Platform.Era()
	index := a.inForce().Index()
	confirmed := head.Era >= era && head.Version == index.Version
	if confirmed && head.Attempt != index.Attempt {
		a.host.log.Error().Uint64("Version", index.Version).Str("Attempt", index.Attempt).Str("HeadAttempt", head.Attempt).
			Msg("configuration: the head names another version of the same number")
	}
	if index.Version == 0 || confirmed || !a.confirmationDue(era) {
		return nil
	}
	if err := a.storeAgain(ctx, index); err != nil {
		return err
	}
	value, err := index.Head().WithEra(era).Encode()
	if err != nil {
		return err
	}
	write := dfplatform.Write{Key: dfconfig.HeadKey, IfVersion: row.Version, Value: value}
	err = a.host.settings.Platform.Commit(ctx, index.Attempt, write)
	if errors.Is(err, dfplatform.ErrConflict) {
		// Another host was faster; the next poll shows its head.
		return nil
	}
	if err != nil {
		return err
	}
	a.host.log.Warn().Uint64("Before", head.Version).Uint64("Version", index.Version).Uint64("Era", era).
		Msg("configuration: head brought forward after the platform came back from an older copy")
	return nil
}

// confirmationDue reports whether this host has known of a restored head for
// confirmDelay.
func (a *adoption) confirmationDue(era uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.host.now()
	if a.unconfirmed.era != era {
		a.unconfirmed = unconfirmedHead{era: era, seenAt: now}
	}
	return now.Since(a.unconfirmed.seenAt) >= confirmDelay
}

// storeAgain stores the objects of an index that the platform lost.
func (a *adoption) storeAgain(ctx context.Context, index dfconfig.Index) error {
	platform := a.host.settings.Platform
	names, err := platform.Names(ctx, dfconfig.ServiceObject(""))
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	for address, document := range a.documents(index) {
		name := dfconfig.ServiceObject(address)
		if present[name] {
			continue
		}
		if err := platform.Put(ctx, name, document); err != nil {
			return err
		}
	}
	data, err := index.Encode()
	if err != nil {
		return err
	}
	return platform.Put(ctx, index.Head().Index, data)
}

// documents returns the documents of an index that are in force, by address.
func (a *adoption) documents(index dfconfig.Index) map[string][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	documents := make(map[string][]byte, len(index.Services))
	for _, address := range index.Services {
		if document, ok := a.state.Document(address); ok {
			documents[address] = document
		}
	}
	return documents
}
