package dftoken

// Bounds of tokens and keys.
const (
	// MaxPositions bounds the groups in a token, so that a token of ordinary
	// names stays below 1 KiB.
	MaxPositions = 16
	// MaxTextBytes bounds the text that Parse looks at. Sixteen positions with
	// names of MaxNameBytes fit.
	MaxTextBytes = 6 * 1024
	// MaxNameBytes bounds a service or group name in a token. PostgreSQL's
	// names have at most 63 bytes, and a group name joins two of them.
	MaxNameBytes = 128
	// MaxKeys are in force during a rotation.
	MaxKeys = 2
	// MinSecretBytes is the security level of the truncated signature.
	MinSecretBytes = 16

	// signatureBytes truncates HMAC-SHA-256; 128 bits cannot be guessed.
	signatureBytes = 16
	// formatVersion is the first byte of every token.
	formatVersion = 1
	// headBytes are version, key identity and flags.
	headBytes = 3
	// flagOverflowed marks a token that dropped a position.
	flagOverflowed = 1
)
