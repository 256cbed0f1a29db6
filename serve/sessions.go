package serve

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
)

const (
	sessionFor     = 24 * time.Hour
	pinFor         = time.Hour
	maxCachedPins  = 100_000
	sessionPurpose = "session"
)

type (
	// sessionToken is what a caller carries so that its session stays on its versions.
	sessionToken struct {
		Account  willowwick.AccountID                        `json:"a"`
		Versions map[willowwick.ModelID]willowwick.VersionID `json:"v"`
		Expires  time.Time                                   `json:"e"`
	}

	// sessions finds and keeps the version of each session.
	sessions struct {
		key   []byte
		node  *fleet.Node
		mu    sync.Mutex
		cache map[string]cachedPin
	}

	cachedPin struct {
		version willowwick.VersionID
		until   time.Time
	}
)

func newSessions(key []byte, node *fleet.Node) *sessions {
	return &sessions{key: key, node: node, cache: map[string]cachedPin{}}
}

// issue signs a token.
func (s *sessions) issue(token sessionToken) string {
	data, err := json.Marshal(token)
	if err != nil {
		return ""
	}
	body := base64.RawURLEncoding.EncodeToString(data)
	return body + "." + base64.RawURLEncoding.EncodeToString(s.sign(body))
}

func (s *sessions) sign(body string) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(sessionPurpose))
	mac.Write([]byte(body))
	return mac.Sum(nil)
}

// read returns a token if it is ours, the account's, and not expired.
func (s *sessions) read(text string, account willowwick.AccountID, now time.Time) (sessionToken, bool) {
	body, signature, found := strings.Cut(text, ".")
	if !found {
		return sessionToken{}, false
	}
	given, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(given, s.sign(body)) {
		return sessionToken{}, false
	}
	data, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return sessionToken{}, false
	}
	var token sessionToken
	if err := json.Unmarshal(data, &token); err != nil {
		return sessionToken{}, false
	}
	return token, token.Account == account && clock.SystemTime(now).Before(token.Expires)
}

func pinKey(account willowwick.AccountID, model willowwick.ModelID, session willowwick.SessionID) string {
	return "session/" + string(account) + "/" + string(model) + "/" + string(session)
}

// cached returns the version that this box last saw the session on.
func (s *sessions) cached(key string, now time.Time) willowwick.VersionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.cache[key]
	if !now.Before(pin.until) {
		return ""
	}
	return pin.version
}

func (s *sessions) remember(key string, version willowwick.VersionID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cache) >= maxCachedPins {
		clear(s.cache)
	}
	s.cache[key] = cachedPin{version: version, until: until}
}

// pin settles the version of a session with the boxes that keep it.
func (s *sessions) pin(ctx context.Context, key string, version willowwick.VersionID, replace bool) willowwick.VersionID {
	lasts := clock.Now().Add(pinFor)
	kept := s.node.Pin(ctx, key, version, lasts, replace)
	s.remember(key, kept, lasts)
	return kept
}
