package dftoken

// Limits of tokens and keys.
const (
	// MaxPositions bounds the groups in a token, so that a token with names of usual
	// length stays below 1 KiB.
	MaxPositions = 16
	// MaxTextBytes bounds the text that Parse accepts. MaxPositions positions with names
	// of MaxNameBytes fit.
	MaxTextBytes = 6 * 1024
	// MaxNameBytes bounds a service or group name in a token. PostgreSQL names have at
	// most 63 bytes, and a group name consists of two of them.
	MaxNameBytes = 128
	// MaxKeys bounds the accepted keys. Two are needed during a rotation.
	MaxKeys = 2
	// MinSecretBytes matches the security level of the truncated signature.
	MinSecretBytes = 16

	// signatureBytes truncates HMAC-SHA-256 to 128 bits, which cannot be guessed.
	signatureBytes = 16
	// formatVersion is the first byte of every token.
	formatVersion = 1
	// headerBytes is the size of the format version, key ID and flags.
	headerBytes = 3
	// flagOverflowed marks a token that dropped a position.
	flagOverflowed = 1
)
