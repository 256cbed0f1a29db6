package willowwick

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/pkg/errors"
)

const (
	// fingerprintBytes is the length of a fingerprint: forging the fingerprint of another client account's request takes 2^128
	// tries.
	fingerprintBytes = 16
	// partLabel sets fingerprints of parts of prompts apart from those of whole requests.
	partLabel = "part of a prompt"
)

// Fingerprint identifies all requests of a client account that have the same target and body, whatever their ids, or all
// whose prompts share a part.
//
// It is a truncated SHA-256, so that no caller can craft a request with the fingerprint of somebody else's.
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

// PartFingerprintsOf returns the fingerprints of parts of a prompt, by their ids.
func PartFingerprintsOf(account AccountID, service ServiceID, parts []string) PartFingerprints {
	var prints PartFingerprints
	for _, part := range parts {
		prints.OfAll = append(prints.OfAll, partFingerprint("", service, part))
		if account != "" {
			prints.OfAccount = append(prints.OfAccount, partFingerprint(account, service, part))
		}
	}
	return prints
}

// partFingerprint returns the fingerprint of a part of a prompt; an empty account stands for all of them.
func partFingerprint(account AccountID, service ServiceID, part string) Fingerprint {
	sum := sha256.New()
	for _, field := range []string{partLabel, string(account), string(service), part} {
		writeLengthPrefixed(sum, field)
	}
	return Fingerprint(sum.Sum(nil))
}

// writeLengthPrefixed hashes a text with its length, so that different lists of texts never hash the same bytes.
func writeLengthPrefixed(sum hash.Hash, text string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(text)))
	sum.Write(size[:])
	_, _ = io.WriteString(sum, text) // a hash never returns an error
}

// ParseFingerprint parses the form that String returns.
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
