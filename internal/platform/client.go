package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// maxAnswerBytes bounds what the client reads of one answer.
const maxAnswerBytes = 64 << 20

// Client speaks to the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client for the service at base, which gives up on any call
// after timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: &http.Transport{}}}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.json(ctx, "get row", http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &row)
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.json(ctx, "scan rows", http.MethodGet, "/table/scan?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, tx Tx) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return &Error{Kind: Conflict, Op: "transact", Err: err}
	}
	return c.json(ctx, "transact", http.MethodPost, "/table/transact", body, nil)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, "put object", http.MethodPut, "/objects/"+url.PathEscape(name), data)
	return err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, "get object", http.MethodGet, "/objects/"+url.PathEscape(name), nil)
}

func (c *Client) json(ctx context.Context, op, method, path string, body []byte, out any) error {
	data, err := c.do(ctx, op, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Kind: Unavailable, Op: op, Err: err}
	}
	return nil
}

func (c *Client) do(ctx context.Context, op, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Kind: Unavailable, Op: op, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{Kind: Unavailable, Op: op, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, &Error{Kind: Unavailable, Op: op, Err: err}
	}
	return data, statusError(op, resp.StatusCode)
}

func statusError(op string, status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return &Error{Kind: NotFound, Op: op}
	case http.StatusConflict:
		return &Error{Kind: Conflict, Op: op}
	}
	return &Error{Kind: Unavailable, Op: op, Err: fmt.Errorf("status %d", status)}
}
