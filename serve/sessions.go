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
	sessionTTL      = 24 * time.Hour
	pinTTL          = time.Hour
	maxCachedPins   = 100_000
	sessionMACLabel = "session"
)

type (
	// sessionToken is a signed token that the caller sends back, so that its session stays on its versions.
	sessionToken struct {
		Account  willowwick.AccountID                        `json:"a"`
		Versions map[willowwick.ModelID]willowwick.VersionID `json:"v"`
		Expires  time.Time                                   `json:"e"`
	}

	// sessions issues session tokens and pins sessions to versions.
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

// issue encodes and signs a token.
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
	mac.Write([]byte(sessionMACLabel))
	mac.Write([]byte(body))
	return mac.Sum(nil)
}

// read returns a token if its signature is valid, it belongs to the account, and it has not expired.
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

// cached returns the session's version if this box has it in its cache.
func (s *sessions) cached(key string, now time.Time) willowwick.VersionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	pin := s.cache[key]
	if !now.Before(pin.until) {
		return ""
	}
	return pin.version
}

func (s *sessions) store(key string, version willowwick.VersionID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cache) >= maxCachedPins {
		clear(s.cache)
	}
	s.cache[key] = cachedPin{version: version, until: until}
}

// pin pins a session to a version at the boxes that hold its replicas. It returns the version in force, which is another
// one if the session was already pinned and replace is false.
func (s *sessions) pin(ctx context.Context, key string, version willowwick.VersionID, replace bool) willowwick.VersionID {
	until := clock.Now().Add(pinTTL)
	pinned := s.node.Pin(ctx, key, version, until, replace)
	s.store(key, pinned, until)
	return pinned
}
