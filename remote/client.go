package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/wire"
)

const (
	maxResponseBytes   = 64 << 20
	maxErrorTextBytes  = 512
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
	contentTypeJSON    = "application/json"
)

type (
	// DialFunc opens a network connection.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Client calls the platform's log, list and rater under one base URL.
	Client struct {
		base string
		http *http.Client
	}

	appendResponse struct {
		Offset willowwick.Offset `json:"offset"`
	}

	rateResponse struct {
		Score willowwick.Score `json:"score"`
	}
)

// Paths of the platform's services under its base URL.
const (
	PathLog  = "/log/"
	PathLive = "/live"
	PathRate = "/rate"
)

// NewClient returns a client and a function that closes its idle connections.
func NewClient(base string, dial DialFunc) (*Client, func()) {
	transports := newTransportPool(dial)
	return &Client{base: base, http: &http.Client{Transport: transports}}, transports.CloseIdleConnections
}

func newTransport(dial DialFunc) *wire.Transport {
	return wire.CheckHeads(&http.Transport{
		MaxResponseHeaderBytes: wire.MaxHeadBytes,
		DialContext:            keepFaults(dial),
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	})
}

// keepFaults returns a function that dials connections that keep their faults; without it, an answer that ends with its
// connection could look complete after a reset. A nil dial is the usual one.
func keepFaults(dial DialFunc) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wire.KeepFaults(conn), nil
	}
}

// Append implements willowwick.Log.
func (c *Client) Append(ctx context.Context, stream willowwick.StreamID, data []byte) (willowwick.Offset, error) {
	var answer appendResponse
	err := c.do(ctx, http.MethodPost, PathLog+string(stream), data, &answer)
	return answer.Offset, err
}

// Read implements willowwick.Log.
func (c *Client) Read(ctx context.Context, stream willowwick.StreamID, from willowwick.Offset, limit int) (willowwick.Page, error) {
	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
	}
	var page willowwick.Page
	err := c.do(ctx, http.MethodGet, PathLog+string(stream)+"?"+query.Encode(), nil, &page)
	return page, err
}

// List implements willowwick.LiveList.
func (c *Client) List(ctx context.Context, known string) (willowwick.Listing, bool, error) {
	var listing willowwick.Listing
	err := c.do(ctx, http.MethodGet, PathLive+"?known="+url.QueryEscape(known), nil, &listing)
	if errors.Is(err, errNotModified) {
		return listing, false, nil
	}
	return listing, err == nil, err
}

// Rate implements willowwick.Rater.
func (c *Client) Rate(ctx context.Context, rating willowwick.RatingRequest) (willowwick.Score, error) {
	data, err := json.Marshal(rating)
	if err != nil {
		return 0, errors.Wrap(err, "encode rating")
	}
	var answer rateResponse
	err = c.do(ctx, http.MethodPost, PathRate, data, &answer)
	return answer.Score, err
}

var errNotModified = errors.New("not modified")

func (c *Client) do(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(answer)
		return errors.Wrapf(err, "platform: %s", path)
	case http.StatusNotModified:
		return errNotModified
	default:
		return errors.Errorf("platform: %s %s: %s: %s", method, path, response.Status, errorText(response.Body))
	}
}

func errorText(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorTextBytes))
	return string(bytes.TrimSpace(text))
}
