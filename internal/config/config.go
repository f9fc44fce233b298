// Package config reads and validates a node's configuration file: its listeners, its failure
// domain, and the addresses of the platform and of a few other nodes. The settings that all nodes
// of a deployment share are not part of it.
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

// Node is the content of a node's configuration file.
type Node struct {
	// ID identifies the node. It is unique in the deployment.
	ID string `json:"id"`
	// Deployment is the name of the deployment whose settings the node applies.
	Deployment string `json:"deployment"`
	// Domain is the node's failure domain.
	Domain string `json:"domain"`
	Listen Listen `json:"listen"`
	// AdvertisePeer is the address at which other nodes reach this one, as IP:port. If empty, it
	// is the address of the peer listener.
	AdvertisePeer string `json:"advertisePeer,omitempty"`
	// TLS holds the certificates of the listeners that are reachable from outside the VM. A
	// listener without certificates uses plain TCP.
	TLS      TLS      `json:"tls,omitzero"`
	Platform Platform `json:"platform"`
	// Contacts are peer addresses through which the node can join the deployment, in addition to
	// those in the platform's table.
	Contacts []string `json:"contacts,omitempty"`
	// AdminTokenSHA256 is the SHA-256, in hexadecimal, of the token that may change all settings.
	AdminTokenSHA256 string `json:"adminTokenSha256"`
	// DrainMs is the maximum duration of a planned stop in milliseconds. 0 means
	// DefaultDrainTimeout.
	DrainMs int64 `json:"drainMs,omitempty"`
	// Mesh is set if the node is part of a service mesh. Such a node has no egress and admin
	// listeners and no admin token.
	Mesh *Mesh `json:"mesh,omitempty"`
}

// Listen holds the addresses of the node's listeners, as IP:port.
type Listen struct {
	// Caller serves callers.
	Caller string `json:"caller"`
	// Backend receives the announcements of the VM's backend servers.
	Backend string `json:"backend"`
	// Egress accepts the sub-calls of the VM's backend servers.
	Egress string `json:"egress,omitempty"`
	// Peer serves other nodes.
	Peer string `json:"peer"`
	// Admin serves operators.
	Admin string `json:"admin,omitempty"`
	// Metrics serves /metrics.
	Metrics string `json:"metrics"`
}

// TLS holds the certificate files of each listener.
type TLS struct {
	Caller *certs.Files `json:"caller,omitempty"`
	Admin  *certs.Files `json:"admin,omitempty"`
	// Peer requires a CA: nodes accept only nodes whose certificate it signed.
	Peer *certs.Files `json:"peer,omitempty"`
}

// Platform configures the connection to the platform.
type Platform struct {
	URL string `json:"url"`
	// TimeoutMs is the timeout of one call in milliseconds. 0 means DefaultPlatformTimeout.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
}

// Defaults of optional values of Node.
const (
	DefaultPlatformTimeout = time.Second
	DefaultDrainTimeout    = 30 * time.Second
)

// Error describes a problem in a configuration file and its location.
type Error struct {
	// Path is a JSON pointer into the file, empty if the problem concerns the whole file.
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

// Load reads and validates a configuration file. Its error is an *Error.
func Load(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Problem: err.Error()}
	}
	return Parse(data)
}

// Parse decodes and validates the content of a configuration file. Its error is an *Error.
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

// PeerAddress returns the address at which other nodes reach this one.
func (n *Node) PeerAddress() string {
	if n.AdvertisePeer != "" {
		return n.AdvertisePeer
	}
	return n.Listen.Peer
}

// PlatformTimeout returns the timeout of one call to the platform.
func (n *Node) PlatformTimeout() time.Duration {
	if n.Platform.TimeoutMs == 0 {
		return DefaultPlatformTimeout
	}
	return time.Duration(n.Platform.TimeoutMs) * time.Millisecond
}

// DrainTimeout returns the maximum duration of a planned stop.
func (n *Node) DrainTimeout() time.Duration {
	if n.DrainMs == 0 {
		return DefaultDrainTimeout
	}
	return time.Duration(n.DrainMs) * time.Millisecond
}

// Validate checks all values. Its error is an *Error about the first problem found.
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
	if n.DrainMs < 0 || n.DrainMs > maxTimeMs {
		return &Error{"/drainMs", fmt.Sprintf("must be from 0 to %d", maxTimeMs)}
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
	if n.Platform.TimeoutMs < 0 || n.Platform.TimeoutMs > maxTimeMs {
		return &Error{"/platform/timeoutMs", fmt.Sprintf("must be from 0 to %d", maxTimeMs)}
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
