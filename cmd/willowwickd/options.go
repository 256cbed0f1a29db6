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
	"github.com/willowwick/willowwick/serve"
)

const (
	dialTimeout  = 2 * time.Second
	minKeyLength = 16
	formatText   = "text"
	formatJSON   = "json"
	// defaultConfidence is where the price of a larger model's run meets what its answers are worth.
	defaultConfidence = 50
	maxConfidence     = 100
	// defaultLateConfidence is where an answer that comes late is worth no more than a doubtful one in time.
	defaultLateConfidence = 15
)

// options are the settings as flags and environment variables give them.
type options struct {
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
}

func (o *options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.box, "box", "", "name of this box, as the platform lists it")
	flags.StringVar(&o.hall, "hall", "", "hall that this box stands in")
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
	flags.StringVar(&o.peerCA, "peer-ca", "", "file of the authority that signed the daemons' certificates")
	flags.Int64Var(&o.maxBody, "max-body", serve.DefaultMaxBody, "largest request body in bytes")
	flags.IntVar(&o.maxRequests, "max-requests", serve.DefaultMaxRequests, "most requests at once")
	flags.DurationVar(&o.drainDelay, "drain-wait", serve.DefaultDrainDelay, "how long a planned stop goes on serving new requests")
	flags.DurationVar(&o.drainTimeout, "drain-limit", serve.DefaultDrainTimeout, "how long a planned stop waits for answers")
	flags.DurationVar(&o.slowFirstToken, "slow-first", serve.DefaultSlowFirstToken, "a first token later than this counts as slow")
	flags.DurationVar(&o.slowTokenGap, "slow-between", serve.DefaultSlowTokenGap, "tokens further apart than this count as slow")
	flags.DurationVar(&o.stallTimeout, "stall", serve.DefaultStallTimeout, "a stream silent for this long is resumed elsewhere")
	flags.StringVar(&o.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.StringVar(&o.logFormat, "log-format", formatText, "text or json")
	flags.StringVar(&o.nodeFile, "node-file", "", "settings file of the users' platform; serves opaque requests there")
	flags.IntVar(&o.confidence, "confidence", defaultConfidence, "a small model's answer below this is given up for the largest model's, 0 to 100")
	flags.IntVar(&o.lateConfidence, "late-confidence", defaultLateConfidence, "the same where the largest model's answer would come after the route's goal")
	flags.BoolVar(&o.checkOnly, "check", false, "check the settings and exit")
}

// check returns everything that is wrong, at once.
func (o *options) check() []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf(format, args...))
	}
	required := func(name, value, example string) {
		if value == "" {
			report("-%s (or %s) must be set, for example %s", name, envName(name), example)
		}
	}
	if o.nodeFile == "" {
		// The platform's settings file says these.
		required("box", o.box, "box-a1")
		required("hall", o.hall, "hall-a")
		required("peer-address", o.peerAddress, "10.0.0.5:8081")
		required("platform", o.platform, "http://10.0.0.1:9000")
	}
	for name, value := range map[string]int{"confidence": o.confidence, "late-confidence": o.lateConfidence} {
		if value < 0 || value > maxConfidence {
			report("-%s must be from 0 to %d, is %d", name, maxConfidence, value)
		}
	}
	for name, address := range map[string]string{
		"listen": o.listen, "peer-listen": o.peerListen, "admin-listen": o.adminListen, "peer-address": o.peerAddress,
	} {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			report("-%s must be host:port, is %q", name, address)
		}
	}
	if parsed, err := url.Parse(o.platform); o.platform != "" && (err != nil || parsed.Host == "") {
		report("-platform must be a URL such as http://10.0.0.1:9000, is %q", o.platform)
	}
	if len(o.key) < minKeyLength {
		report("-key (or %s) must have at least %d characters, has %d", envName("key"), minKeyLength, len(o.key))
	}
	if _, err := o.level(); err != nil {
		report("-log-level must be debug, info, warn or error, is %q", o.logLevel)
	}
	if o.logFormat != formatText && o.logFormat != formatJSON {
		report("-log-format must be text or json, is %q", o.logFormat)
	}
	if o.maxBody <= 0 || o.maxRequests <= 0 {
		report("-max-body and -max-requests must be above 0, are %d and %d", o.maxBody, o.maxRequests)
	}
	if o.drainDelay <= 0 || o.drainTimeout <= 0 || o.slowFirstToken <= 0 || o.slowTokenGap <= 0 || o.stallTimeout <= 0 {
		report("-drain-wait, -drain-limit, -slow-first, -slow-between and -stall must be above 0")
	}
	if _, _, err := o.tlsConfigs(); err != nil {
		report("%v", err)
	}
	return problems
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

// dropErrorStack keeps an error's message alone: text would hold its stack too, 2 KB a line.
func dropErrorStack(_ []string, attribute slog.Attr) slog.Attr {
	if err, isError := attribute.Value.Any().(error); isError {
		return slog.String(attribute.Key, err.Error())
	}
	return attribute
}

// tlsConfigs loads the certificates that are set.
func (o *options) tlsConfigs() (callers, peers *tls.Config, err error) {
	if callers, err = loadKeyPair("tls", o.tlsCert, o.tlsKey); err != nil {
		return nil, nil, err
	}
	if peers, err = loadKeyPair("peer", o.peerCert, o.peerKey); err != nil {
		return nil, nil, err
	}
	if (peers == nil) != (o.peerCA == "") {
		return nil, nil, errors.New("-peer-cert, -peer-key and -peer-ca go together")
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
		return nil, nil, errors.Errorf("-peer-ca: %s holds no certificate", o.peerCA)
	}
	// Daemons are known by the shared key and the authority, not by a name.
	serve.RequireAuthority(peers, pool)
	return callers, peers, nil
}

func loadKeyPair(name, certificate, key string) (*tls.Config, error) {
	if (certificate == "") != (key == "") {
		return nil, errors.Errorf("-%s-cert and -%s-key go together", name, name)
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
