package dftoken

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// Key signs tokens. The secret is never logged or sent.
type Key struct {
	ID byte
	// Secret has at least MinSecretBytes bytes.
	Secret []byte
}

// KeyRing holds the accepted keys, one of which signs new tokens. It is immutable. The
// zero value has no key and neither signs nor accepts tokens.
//
// A rotation takes three steps: WithAccepted, WithSigning, WithoutKey. Each must be in
// force on every host before the next one, so that no host receives a token signed with
// a key that it does not know.
type KeyRing struct {
	// keys has at most MaxKeys keys with distinct IDs.
	keys []Key
	// signingID is the ID of one of the keys.
	signingID byte
}

// NewKeyRing returns a ring that signs with the key and accepts only it.
func NewKeyRing(key Key) (KeyRing, error) {
	ring, err := KeyRing{}.WithAccepted(key)
	if err != nil {
		return KeyRing{}, err
	}
	return ring.WithSigning(key.ID)
}

// WithAccepted returns the ring that also accepts tokens signed with the key.
func (r KeyRing) WithAccepted(key Key) (KeyRing, error) {
	if len(key.Secret) < MinSecretBytes {
		return r, eris.Errorf("key %d: secret has %d bytes, want at least %d", key.ID, len(key.Secret), MinSecretBytes)
	}
	if _, found := r.find(key.ID); found {
		return r, eris.Errorf("key %d is already in force; use another ID for the new key", key.ID)
	}
	if len(r.keys) >= MaxKeys {
		return r, eris.Errorf("%d keys are in force; retire one before adding key %d", MaxKeys, key.ID)
	}
	secret := append([]byte(nil), key.Secret...)
	keys := append(append([]Key(nil), r.keys...), Key{ID: key.ID, Secret: secret})
	return KeyRing{keys: keys, signingID: r.signingID}, nil
}

// WithSigning returns the ring that signs with the key of the given ID.
func (r KeyRing) WithSigning(id byte) (KeyRing, error) {
	if _, found := r.find(id); !found {
		return r, eris.Errorf("key %d is not in force", id)
	}
	return KeyRing{keys: r.keys, signingID: id}, nil
}

// WithoutKey returns the ring that no longer accepts the key.
func (r KeyRing) WithoutKey(id byte) (KeyRing, error) {
	if id == r.signingID {
		return r, eris.Errorf("key %d signs tokens; choose another signing key first", id)
	}
	kept := make([]Key, 0, len(r.keys))
	for _, key := range r.keys {
		if key.ID != id {
			kept = append(kept, key)
		}
	}
	if len(kept) == len(r.keys) {
		return r, eris.Errorf("key %d is not in force", id)
	}
	return KeyRing{keys: kept, signingID: r.signingID}, nil
}

func (r KeyRing) find(id byte) (Key, bool) {
	for _, key := range r.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// sign returns the truncated HMAC of the payload.
func (k Key) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, k.Secret)
	mac.Write(payload)
	return mac.Sum(nil)[:signatureBytes]
}
