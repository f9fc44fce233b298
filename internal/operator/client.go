// Package operator provides a client of a node's admin API, through which operators read and
// change settings, and grant and withdraw keys.
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

// APIError holds the problem document of an error response of the admin API.
type APIError struct {
	problem.Document
}

// Error implements error.
func (e *APIError) Error() string {
	if e.Path != "" {
		return fmt.Sprintf("%s: %s: %s", e.Reason, e.Path, e.Detail)
	}
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// Client calls one node's admin API. It is safe for concurrent use.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client of the admin listener at baseURL that authenticates with the given
// admin token.
func New(baseURL, token string) *Client {
	return &Client{baseURL: baseURL, token: token, http: &http.Client{Timeout: requestTimeout}}
}

// TrustCA makes the client accept only servers whose certificate is signed by a certificate
// authority in the PEM file. It must be called before the first request.
func (c *Client) TrustCA(file string) error {
	pem, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s contains no PEM-encoded certificate", file)
	}
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return nil
}

// ChangeOptions holds optional headers of a request that changes settings.
type ChangeOptions struct {
	// ID identifies the change, so that a change submitted twice is made only once.
	ID string
	// IfMatch is the ETag with which the tree, subtree or item to be changed was read. If
	// it has changed since, the change is refused. GrantKey and WithdrawKey ignore it.
	IfMatch string
}

// Tree returns all settings and their ETag. Like all methods that call the API, it returns
// an *APIError if the API responds with a problem document.
func (c *Client) Tree(ctx context.Context) (*settings.Tree, string, error) {
	var t settings.Tree
	etag, err := c.do(ctx, http.MethodGet, "/admin/v1/settings", ChangeOptions{}, nil, &t)
	return &t, etag, err
}

// PutTree replaces all settings.
func (c *Client) PutTree(ctx context.Context, t *settings.Tree, opts ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodPut, "/admin/v1/settings", opts, t, &a)
	return a, err
}

// Team returns one team's subtree and its ETag.
func (c *Client) Team(ctx context.Context, team string) (settings.Team, string, error) {
	var t settings.Team
	etag, err := c.do(ctx, http.MethodGet, "/admin/v1/settings/"+url.PathEscape(team), ChangeOptions{}, nil, &t)
	return t, etag, err
}

// PutTeam replaces one team's subtree.
func (c *Client) PutTeam(ctx context.Context, team string, t settings.Team, opts ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodPut, "/admin/v1/settings/"+url.PathEscape(team), opts, t, &a)
	return a, err
}

// Item returns one item of a team's subtree and its ETag.
func (c *Client) Item(ctx context.Context, team, section, name string) (json.RawMessage, string, error) {
	var raw json.RawMessage
	etag, err := c.do(ctx, http.MethodGet, itemPath(team, section, name), ChangeOptions{}, nil, &raw)
	return raw, etag, err
}

// PutItem adds or replaces one item, given as JSON.
func (c *Client) PutItem(ctx context.Context, team, section, name string, item json.RawMessage, opts ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodPut, itemPath(team, section, name), opts, item, &a)
	return a, err
}

// DeleteItem removes one item.
func (c *Client) DeleteItem(ctx context.Context, team, section, name string, opts ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	_, err := c.do(ctx, http.MethodDelete, itemPath(team, section, name), opts, nil, &a)
	return a, err
}

func itemPath(team, section, name string) string {
	return "/admin/v1/settings/" + url.PathEscape(team) + "/" + url.PathEscape(section) + "/" + url.PathEscape(name)
}

// GrantKey creates a new API key for an account. The note is free text for operators.
func (c *Client) GrantKey(ctx context.Context, team, account, note string, opts ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	path := "/admin/v1/keys/" + url.PathEscape(team) + "/" + url.PathEscape(account) + "?note=" + url.QueryEscape(note)
	_, err := c.do(ctx, http.MethodPost, path, opts, nil, &a)
	return a, err
}

// WithdrawKey revokes an API key. The id is the KeyID that GrantKey returned, or a longer prefix
// of the key's hex SHA-256.
func (c *Client) WithdrawKey(ctx context.Context, team, account, id string, opts ChangeOptions) (admin.Accepted, error) {
	var a admin.Accepted
	path := "/admin/v1/keys/" + url.PathEscape(team) + "/" + url.PathEscape(account) + "/" + url.PathEscape(id)
	_, err := c.do(ctx, http.MethodDelete, path, opts, nil, &a)
	return a, err
}

// Status returns the node's own status and its view of the other nodes.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	_, err := c.do(ctx, http.MethodGet, "/admin/v1/status", ChangeOptions{}, nil, &s)
	return s, err
}

// do sends a request with in, unless nil, as its JSON body, decodes the response into out and
// returns the response's ETag.
func (c *Client) do(ctx context.Context, method, path string, opts ChangeOptions, in, out any) (etag string, err error) {
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
	if opts.ID != "" {
		req.Header.Set("Change-Id", opts.ID)
	}
	if opts.IfMatch != "" {
		req.Header.Set("If-Match", opts.IfMatch)
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

// responseError reads the problem document of a response whose status is not 200.
func responseError(resp *http.Response) error {
	var d problem.Document
	if err := json.NewDecoder(resp.Body).Decode(&d); err != nil {
		return fmt.Errorf("admin API answered status %d without a problem document", resp.StatusCode)
	}
	return &APIError{d}
}
