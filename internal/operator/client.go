// Package operator is a client of the admin API.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"comfreycart.dev/comfreycart/internal/api/admin"
	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/settings"
)

const requestTimeout = 30 * time.Second

// APIError is an answer of the admin API that is not a success.
type APIError struct {
	problem.Document
}

// Error implements error.
func (r *APIError) Error() string {
	if r.Path != "" {
		return fmt.Sprintf("%s: %s: %s", r.Reason, r.Path, r.Detail)
	}
	return fmt.Sprintf("%s: %s", r.Reason, r.Detail)
}

// Client calls one node's admin API. It is safe for concurrent use.
type Client struct {
	baseURL  string
	token string
	http  *http.Client
}

// New returns a client of the admin listener at base.
func New(base, token string) *Client {
	return &Client{baseURL: base, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// TrustCA makes the client accept servers whose certificate the authority in the PEM
// file signed. It must be called before the first request.
func (c *Client) TrustCA(file string) error {
	pem, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s holds no certificate", file)
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return nil
}

// ChangeOptions says under which conditions a change is to be made; both parts are optional.
type ChangeOptions struct {
	// ID makes resubmissions one change.
	ID string
	// IfMatch is the ETag of what the operator saw.
	IfMatch string
}

// Tree returns all settings and their ETag.
func (c *Client) Tree(ctx context.Context) (*settings.Tree, string, error) {
	var t settings.Tree
	tag, err := c.do(ctx, http.MethodGet, "/admin/v1/settings", ChangeOptions{}, nil, &t)
	return &t, tag, err
}

// PutTree replaces all settings.
func (c *Client) PutTree(ctx context.Context, t *settings.Tree, ch ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodPut, "/admin/v1/settings", ch, t, &a)
	return a, err
}

// Team returns one team's subtree and its ETag.
func (c *Client) Team(ctx context.Context, team string) (settings.Team, string, error) {
	var t settings.Team
	tag, err := c.do(ctx, http.MethodGet, "/admin/v1/settings/"+url.PathEscape(team), ChangeOptions{}, nil, &t)
	return t, tag, err
}

// PutTeam replaces one team's subtree.
func (c *Client) PutTeam(ctx context.Context, team string, t settings.Team, ch ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodPut, "/admin/v1/settings/"+url.PathEscape(team), ch, t, &a)
	return a, err
}

// Item returns one item of a team's subtree and its ETag.
func (c *Client) Item(ctx context.Context, team, section, name string) (json.RawMessage, string, error) {
	var raw json.RawMessage
	tag, err := c.do(ctx, http.MethodGet, itemPath(team, section, name), ChangeOptions{}, nil, &raw)
	return raw, tag, err
}

// PutItem adds or replaces one item, given as JSON.
func (c *Client) PutItem(ctx context.Context, team, section, name string, item json.RawMessage, ch ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodPut, itemPath(team, section, name), ch, item, &a)
	return a, err
}

// DeleteItem removes one item.
func (c *Client) DeleteItem(ctx context.Context, team, section, name string, ch ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodDelete, itemPath(team, section, name), ch, nil, &a)
	return a, err
}

func itemPath(team, section, name string) string {
	return "/admin/v1/settings/" + url.PathEscape(team) + "/" + url.PathEscape(section) + "/" + url.PathEscape(name)
}

// GrantKey makes a new key for an account.
func (c *Client) GrantKey(ctx context.Context, team, account, note string, ch ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	path := "/admin/v1/keys/" + url.PathEscape(team) + "/" + url.PathEscape(account) + "?note=" + url.QueryEscape(note)
	_, err := c.do(ctx, http.MethodPost, path, ch, nil, &a)
	return a, err
}

// WithdrawKey ends a key.
func (c *Client) WithdrawKey(ctx context.Context, team, account, id string, ch ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	path := "/admin/v1/keys/" + url.PathEscape(team) + "/" + url.PathEscape(account) + "/" + url.PathEscape(id)
	_, err := c.do(ctx, http.MethodDelete, path, ch, nil, &a)
	return a, err
}

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	_, err := c.do(ctx, http.MethodGet, "/admin/v1/status", ChangeOptions{}, nil, &s)
	return s, err
}

func (c *Client) do(ctx context.Context, method, path string, ch ChangeOptions, in, out any) (etag string, err error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return "", err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if ch.ID != "" {
		req.Header.Set("Change-Id", ch.ID)
	}
	if ch.IfMatch != "" {
		req.Header.Set("If-Match", ch.IfMatch)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", responseError(resp)
	}
	return resp.Header.Get("ETag"), json.NewDecoder(resp.Body).Decode(out)
}

func responseError(resp *http.Response) error {
	var d problem.Document
	if err := json.NewDecoder(resp.Body).Decode(&d); err != nil {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return &APIError{d}
}
