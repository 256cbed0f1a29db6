package willowwick

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/pkg/errors"
)

// fingerprintBytes is the length of a fingerprint: to make a request with the fingerprint of another client account's takes
// 2^128 tries.
const fingerprintBytes = 16

// Fingerprint names all requests of a client account that have the same target and body, whatever their ids.
//
// It is the begin of a SHA-256, so that no caller can make a request that is taken for another one's.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(account AccountID, method, host, target string, body []byte) Fingerprint {
	sum := sha256.New()
	for _, part := range []string{string(account), method, host, target} {
		writeLengthPrefixed(sum, part)
	}
	sum.Write(body)
	return Fingerprint(sum.Sum(nil))
}

// writeLengthPrefixed adds a text with its length, so that no two rows of texts read alike.
func writeLengthPrefixed(sum hash.Hash, text string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(text)))
	sum.Write(size[:])
	_, _ = io.WriteString(sum, text) // a hash takes everything
}

// ParseFingerprint reads a fingerprint as String writes it.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != fingerprintBytes {
		return Fingerprint{}, errors.Errorf("a fingerprint has %d hexadecimal digits, this is %q", 2*fingerprintBytes, text)
	}
	return Fingerprint(data), nil
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := ParseFingerprint(string(text))
	*f = parsed
	return err
}
