// Package config holds a node's own file: its addresses, its failure domain, and
// where it finds the platform and a few contacts.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/certs"
)

// Node is the content of a node's file.
type Node struct {
	// ID names the node; it is unique in the deployment.
	ID string `json:"id"`
	// Deployment names the settings that the node serves.
	Deployment string `json:"deployment"`
	// Domain is the node's failure domain.
	Domain string `json:"domain"`
	Listen Listen `json:"listen"`
	// AdvertisePeer is where other nodes reach this one, as IP:port; empty means
	// the peer listener's address.
	AdvertisePeer string `json:"advertisePeer,omitempty"`
	// TLS gives the certificates of the listeners that outsiders reach; one left out
	// speaks plain TCP.
	TLS      TLS      `json:"tls,omitzero"`
	Platform Platform `json:"platform"`
	// Contacts are peer addresses to join by, beside those in the platform's table.
	Contacts []string `json:"contacts,omitempty"`
	// AdminTokenSHA256 is the hex hash of the token that may change everything.
	AdminTokenSHA256 string `json:"adminTokenSha256"`
	// DrainMs bounds a planned stop, in milliseconds; 0 means the default.
	DrainMs int64 `json:"drainMs,omitempty"`
	// Mesh is set where the node serves a VM of a service mesh. There are then no egress
	// and admin listeners and no admin token.
	Mesh *Mesh `json:"mesh,omitempty"`
}

// Listen gives the node's listeners as IP:port.
type Listen struct {
	// Caller serves callers.
	Caller string `json:"caller"`
	// Backend takes the announcements of the local backend servers.
	Backend string `json:"backend"`
	// Egress takes their sub-calls.
	Egress string `json:"egress,omitempty"`
	// Peer serves other nodes.
	Peer string `json:"peer"`
	// Admin serves operators.
	Admin string `json:"admin,omitempty"`
	// Metrics serves /metrics.
	Metrics string `json:"metrics"`
}

// TLS gives certificates by listener.
type TLS struct {
	Caller *certs.Files `json:"caller,omitempty"`
	Admin  *certs.Files `json:"admin,omitempty"`
	// Peer needs a CA: nodes accept only nodes that it signed.
	Peer *certs.Files `json:"peer,omitempty"`
}

// Platform says how to reach the platform's service.
type Platform struct {
	URL string `json:"url"`
	// TimeoutMs bounds one call, in milliseconds; 0 means the default.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
}

// Defaults of values that may be left out.
const (
	DefaultPlatformTimeout = time.Second
	DefaultDrainTimeout           = 30 * time.Second
)

// Error says what is wrong with a node's file, and where.
type Error struct {
	// Path is a JSON pointer into the file.
	Path    string
	Problem string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path == "" {
		return "node file: " + e.Problem
	}
	return "node file: " + e.Path + ": " + e.Problem
}

// Load reads and checks a node's file. Its error is an *Error.
func Load(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Problem: err.Error()}
	}
	return Parse(data)
}

// Parse decodes and checks a node's file. Its error is an *Error.
func Parse(data []byte) (*Node, error) {
	var n Node
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return nil, &Error{Problem: err.Error()}
	}
	if err := n.Validate(); err != nil {
		return nil, err
	}
	return &n, nil
}

// PeerAddress is where other nodes reach this one.
func (n *Node) PeerAddress() string {
	if n.AdvertisePeer != "" {
		return n.AdvertisePeer
	}
	return n.Listen.Peer
}

// PlatformTimeout is the bound of one call to the platform.
func (n *Node) PlatformTimeout() time.Duration {
	if n.Platform.TimeoutMs == 0 {
		return DefaultPlatformTimeout
	}
	return time.Duration(n.Platform.TimeoutMs) * time.Millisecond
}

// DrainTimeout is the bound of a planned stop.
func (n *Node) DrainTimeout() time.Duration {
	if n.DrainMs == 0 {
		return DefaultDrainTimeout
	}
	return time.Duration(n.DrainMs) * time.Millisecond
}

// Validate checks the file; its error is an *Error that names the first fault.
func (n *Node) Validate() error {
	checks := []func() error{n.checkNames, n.checkListen, n.checkTLS, n.checkPlatform, n.checkContacts, n.checkMesh}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) checkNames() error {
	names := []struct{ path, value string }{
		{"/id", n.ID}, {"/deployment", n.Deployment}, {"/domain", n.Domain},
	}
	for _, f := range names {
		if f.value == "" {
			return &Error{f.path, "is required"}
		}
	}
	if n.Mesh == nil && len(n.AdminTokenSHA256) != 64 {
		return &Error{"/adminTokenSha256", "want a SHA-256 in hexadecimal"}
	}
	if n.DrainMs < 0 {
		return &Error{"/drainMs", "must not be negative"}
	}
	return nil
}

func (n *Node) checkListen() error {
	listeners := []struct{ path, value string }{
		{"/listen/caller", n.Listen.Caller}, {"/listen/backend", n.Listen.Backend},
		{"/listen/egress", n.Listen.Egress}, {"/listen/peer", n.Listen.Peer},
		{"/listen/admin", n.Listen.Admin}, {"/listen/metrics", n.Listen.Metrics},
	}
	seen := map[string]string{}
	for _, l := range listeners {
		if n.Mesh != nil && l.value == "" && (l.path == "/listen/egress" || l.path == "/listen/admin") {
			continue
		}
		if _, err := netip.ParseAddrPort(l.value); err != nil {
			return &Error{l.path, fmt.Sprintf("%q: want IP:port", l.value)}
		}
		if other, ok := seen[l.value]; ok {
			return &Error{l.path, "same address as " + other}
		}
		seen[l.value] = l.path
	}
	if _, err := netip.ParseAddrPort(n.PeerAddress()); err != nil {
		return &Error{"/advertisePeer", fmt.Sprintf("%q: want IP:port", n.AdvertisePeer)}
	}
	return nil
}

func (n *Node) checkTLS() error {
	listeners := []struct {
		path  string
		files *certs.Files
	}{
		{"/tls/caller", n.TLS.Caller}, {"/tls/admin", n.TLS.Admin}, {"/tls/peer", n.TLS.Peer},
	}
	for _, l := range listeners {
		if l.files == nil {
			continue
		}
		if _, err := certs.NewSource(*l.files, zerolog.Nop()); err != nil {
			return &Error{l.path, err.Error()}
		}
	}
	if n.TLS.Peer != nil && n.TLS.Peer.CA == "" {
		return &Error{"/tls/peer/ca", "is required"}
	}
	return nil
}

func (n *Node) checkPlatform() error {
	u, err := url.Parse(n.Platform.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &Error{"/platform/url", fmt.Sprintf("%q: want an http or https URL", n.Platform.URL)}
	}
	if n.Platform.TimeoutMs < 0 {
		return &Error{"/platform/timeoutMs", "must not be negative"}
	}
	return nil
}

func (n *Node) checkContacts() error {
	for i, c := range n.Contacts {
		if _, err := netip.ParseAddrPort(c); err != nil {
			return &Error{fmt.Sprintf("/contacts/%d", i), fmt.Sprintf("%q: want IP:port", c)}
		}
	}
	return nil
}
