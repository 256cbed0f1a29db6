package main

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/autoscale"
	"github.com/willowwick/willowwick/serve"
)

const (
	dialTimeout  = 2 * time.Second
	minKeyLength = 16
	formatText   = "text"
	formatJSON   = "json"
	// defaultConfidence is the confidence at which a run of a larger model costs as much as its answer is worth.
	defaultConfidence = 50
	maxConfidence     = 100
	// defaultLateConfidence is the confidence at which a late answer is worth no more than a doubtful one in time.
	defaultLateConfidence = 15
)

type (
	// options holds the settings from flags and environment variables.
	options struct {
		box, hall                                  string
		listen, peerListen, adminListen            string
		peerAddress                                string
		platform                                   string
		key                                        string
		tlsCert, tlsKey                            string
		peerCert, peerKey, peerCA                  string
		maxBody                                    int64
		maxRequests                                int
		drainDelay, drainTimeout                   time.Duration
		slowFirstToken, slowTokenGap, stallTimeout time.Duration
		logLevel, logFormat                        string
		checkOnly                                  bool
		nodeFile                                   string
		confidence, lateConfidence                 int
		runnerUtilisation                          float64
	}

	// problems collects what is wrong with the settings.
	problems struct {
		texts []string
	}
)

func (o *options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.box, "box", "", "name of this box, as the platform lists it")
	flags.StringVar(&o.hall, "hall", "", "hall of this box")
	flags.StringVar(&o.listen, "listen", ":8080", "address for callers")
	flags.StringVar(&o.peerListen, "peer-listen", ":8081", "address for other daemons")
	flags.StringVar(&o.adminListen, "admin-listen", "127.0.0.1:8082", "address for operators and metrics")
	flags.StringVar(&o.peerAddress, "peer-address", "", "host:port under which other daemons reach this one")
	flags.StringVar(&o.platform, "platform", "", "base URL of the platform's services")
	flags.StringVar(&o.key, "key", "", "key shared by all daemons; better set as WILLOWWICK_KEY")
	flags.StringVar(&o.tlsCert, "tls-cert", "", "certificate file for callers")
	flags.StringVar(&o.tlsKey, "tls-key", "", "key file of that certificate")
	flags.StringVar(&o.peerCert, "peer-cert", "", "certificate file between daemons")
	flags.StringVar(&o.peerKey, "peer-key", "", "key file of that certificate")
	flags.StringVar(&o.peerCA, "peer-ca", "", "certificate file of the authority that signed the daemons' certificates")
	flags.Int64Var(&o.maxBody, "max-body", serve.DefaultMaxBody, "largest request body in bytes")
	flags.IntVar(&o.maxRequests, "max-requests", serve.DefaultMaxRequests, "largest number of concurrent requests")
	flags.DurationVar(&o.drainDelay, "drain-wait", serve.DefaultDrainDelay, "how long the daemon still serves new requests after a planned stop begins")
	flags.DurationVar(&o.drainTimeout, "drain-limit", serve.DefaultDrainTimeout, "how long a planned stop waits for requests in flight")
	flags.DurationVar(&o.slowFirstToken, "slow-first", serve.DefaultSlowFirstToken, "a first token later than this counts as slow")
	flags.DurationVar(&o.slowTokenGap, "slow-between", serve.DefaultSlowTokenGap, "tokens further apart than this count as slow")
	flags.DurationVar(&o.stallTimeout, "stall", serve.DefaultStallTimeout, "a stream silent for this long is resumed elsewhere")
	flags.StringVar(&o.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.StringVar(&o.logFormat, "log-format", formatText, "text or json")
	flags.StringVar(&o.nodeFile, "node-file", "", "settings file of the users' platform; serves opaque requests there")
	flags.IntVar(&o.confidence, "confidence", defaultConfidence, "confidence below which a small model's answer is replaced by the largest model's, 0 to 100")
	flags.IntVar(&o.lateConfidence, "late-confidence", defaultLateConfidence, "the same, for requests that the largest model would answer after the route's goal")
	flags.Float64Var(&o.runnerUtilisation, "runner-utilisation", autoscale.DefaultUtilisation, "share of the runners' slots to aim at where the fleet orders runners, above 0 and at most 1")
	flags.BoolVar(&o.checkOnly, "check", false, "check the settings and exit")
}

// check returns all problems of the settings.
func (o *options) check() []string {
	found := &problems{}
	o.checkRequired(found)
	o.checkNumbers(found)
	o.checkAddresses(found)
	if len(o.key) < minKeyLength {
		found.add("-key (or %s) must have at least %d characters, has %d", envName("key"), minKeyLength, len(o.key))
	}
	if _, err := o.level(); err != nil {
		found.add("-log-level must be debug, info, warn or error, is %q", o.logLevel)
	}
	if o.logFormat != formatText && o.logFormat != formatJSON {
		found.add("-log-format must be text or json, is %q", o.logFormat)
	}
	if _, _, err := o.tlsConfigs(); err != nil {
		found.add("%v", err)
	}
	return found.texts
}

func (p *problems) add(format string, args ...any) {
	p.texts = append(p.texts, fmt.Sprintf(format, args...))
}

// checkRequired checks that the settings which the platform's settings file doesn't provide are given.
func (o *options) checkRequired(found *problems) {
	if o.nodeFile != "" {
		return
	}
	for _, required := range []struct{ name, value, example string }{
		{"box", o.box, "box-a1"},
		{"hall", o.hall, "hall-a"},
		{"peer-address", o.peerAddress, "10.0.0.5:8081"},
		{"platform", o.platform, "http://10.0.0.1:9000"},
	} {
		if required.value == "" {
			found.add("-%s (or %s) must be set, for example %s", required.name, envName(required.name), required.example)
		}
	}
}

func (o *options) checkNumbers(found *problems) {
	for name, value := range map[string]int{"confidence": o.confidence, "late-confidence": o.lateConfidence} {
		if value < 0 || value > maxConfidence {
			found.add("-%s must be from 0 to %d, is %d", name, maxConfidence, value)
		}
	}
	if !(o.runnerUtilisation > 0 && o.runnerUtilisation <= 1) {
		found.add("-runner-utilisation must be above 0 and at most 1, is %v", o.runnerUtilisation)
	}
	if o.maxBody <= 0 || o.maxRequests <= 0 {
		found.add("-max-body and -max-requests must be above 0, are %d and %d", o.maxBody, o.maxRequests)
	}
	if o.drainDelay <= 0 || o.drainTimeout <= 0 || o.slowFirstToken <= 0 || o.slowTokenGap <= 0 || o.stallTimeout <= 0 {
		found.add("-drain-wait, -drain-limit, -slow-first, -slow-between and -stall must be above 0")
	}
}

func (o *options) checkAddresses(found *problems) {
	for name, address := range map[string]string{
		"listen": o.listen, "peer-listen": o.peerListen, "admin-listen": o.adminListen, "peer-address": o.peerAddress,
	} {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			found.add("-%s must be host:port, is %q", name, address)
		}
	}
	if parsed, err := url.Parse(o.platform); o.platform != "" && (err != nil || parsed.Host == "") {
		found.add("-platform must be a URL such as http://10.0.0.1:9000, is %q", o.platform)
	}
}

func envName(name string) string {
	return "WILLOWWICK_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func (o *options) level() (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(o.logLevel))
	return level, err
}

func (o *options) logger() *slog.Logger {
	return o.loggerTo(os.Stderr)
}

func (o *options) loggerTo(out io.Writer) *slog.Logger {
	level, _ := o.level()
	handlerOptions := &slog.HandlerOptions{Level: level}
	if o.logFormat == formatJSON {
		return slog.New(slog.NewJSONHandler(out, handlerOptions))
	}
	handlerOptions.ReplaceAttr = dropErrorStack
	return slog.New(slog.NewTextHandler(out, handlerOptions))
}

// dropErrorStack replaces an error by its message; the text handler would also print its stack, 2 KB a line.
func dropErrorStack(_ []string, attribute slog.Attr) slog.Attr {
	if err, isError := attribute.Value.Any().(error); isError {
		return slog.String(attribute.Key, err.Error())
	}
	return attribute
}

// tlsConfigs loads the certificates; a configuration without a certificate is nil.
func (o *options) tlsConfigs() (callers, peers *tls.Config, err error) {
	if callers, err = loadKeyPair("tls", o.tlsCert, o.tlsKey); err != nil {
		return nil, nil, err
	}
	if peers, err = loadKeyPair("peer", o.peerCert, o.peerKey); err != nil {
		return nil, nil, err
	}
	if (peers == nil) != (o.peerCA == "") {
		return nil, nil, errors.New("-peer-cert, -peer-key and -peer-ca must be set together")
	}
	if peers == nil {
		return callers, nil, nil
	}
	pem, err := os.ReadFile(o.peerCA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "-peer-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("-peer-ca: %s contains no certificate", o.peerCA)
	}
	// Daemons authenticate by the shared key and a certificate of the authority; the name in it is not checked.
	serve.RequireAuthority(peers, pool)
	return callers, peers, nil
}

func loadKeyPair(name, certificate, key string) (*tls.Config, error) {
	if (certificate == "") != (key == "") {
		return nil, errors.Errorf("-%s-cert and -%s-key must be set together", name, name)
	}
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrapf(err, "-%s-cert and -%s-key", name, name)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

func (o *options) serveSettings(boot willowwick.BootID, callers, peers *tls.Config) serve.Settings {
	return serve.Settings{
		Box: willowwick.BoxID(o.box), Boot: boot, Hall: willowwick.HallID(o.hall), PeerAddress: o.peerAddress,
		Key: []byte(o.key), CallerTLS: callers, PeerTLS: peers,
		MaxBody: o.maxBody, MaxRequests: o.maxRequests, DrainDelay: o.drainDelay, DrainTimeout: o.drainTimeout,
		SlowFirstToken: o.slowFirstToken, SlowTokenGap: o.slowTokenGap, StallTimeout: o.stallTimeout,
	}
}
