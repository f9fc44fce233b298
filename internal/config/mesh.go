package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Mesh is the part of a node's file for a VM of a service mesh: callers and the VM's
// backend server send their requests to one listener, and operators keep the settings at
// the platform.
type Mesh struct {
	// Service is the service of the VM's backend server, and Backend where it listens.
	Service string `json:"service"`
	Backend string `json:"backend"`
	// Ready is where the platform asks whether the node is ready.
	Ready string `json:"ready"`
	// Domains are all failure domains of the deployment; they share the accounts' tokens.
	Domains []string `json:"domains"`
	// HeartbeatMs is the time between two announcements of the backend server.
	HeartbeatMs int64 `json:"heartbeatMs,omitempty"`
	// KeyStalenessMs is how long a withdrawn key may still work.
	KeyStalenessMs int64 `json:"keyStalenessMs,omitempty"`
	// StopSeconds bounds a planned stop.
	StopSeconds float64 `json:"stopSeconds,omitempty"`
	// RetryRatio is how many retries a service may get from all nodes for one request,
	// and RetryReserve how many besides within some seconds.
	RetryRatio   float64 `json:"retryRatio,omitempty"`
	RetryReserve float64 `json:"retryReserve,omitempty"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int64 `json:"memoryMb,omitempty"`
}

// Defaults of a mesh's values that may be left out.
const (
	DefaultHeartbeatInterval    = 1500 * time.Millisecond
	DefaultKeyStaleness = 5 * time.Second
	DefaultStopTimeout         = 6 * time.Second
	DefaultRetryRatio   = 0.2
	DefaultMemoryMB     = 256
)

// maxMissedHeartbeats is how many heartbeats may be missing before a backend server gets
// no new work; they may come seconds late, and a dead one refuses connections.
const maxMissedHeartbeats = 6

// readyStalenessFraction is the part of the key staleness from which a node is not ready.
const readyStalenessFraction = 0.6

// SilenceTimeout is how long after its last announcement a backend server gets new work.
func (m *Mesh) SilenceTimeout() time.Duration {
	return maxMissedHeartbeats * millisecondsOrDefault(m.HeartbeatMs, DefaultHeartbeatInterval)
}

// KeyStaleness is how long a withdrawn key may still work.
func (m *Mesh) KeyStaleness() time.Duration {
	return millisecondsOrDefault(m.KeyStalenessMs, DefaultKeyStaleness)
}

// ReadyStaleness is the age of the settings from which the node is not ready.
func (m *Mesh) ReadyStaleness() time.Duration {
	return time.Duration(readyStalenessFraction * float64(m.KeyStaleness()))
}

// StopTimeout is the bound of a planned stop.
func (m *Mesh) StopTimeout() time.Duration {
	if m.StopSeconds == 0 {
		return DefaultStopTimeout
	}
	return time.Duration(m.StopSeconds * float64(time.Second))
}

// MemoryBytes is the bytes that the process may use.
func (m *Mesh) MemoryBytes() int64 {
	if m.MemoryMB == 0 {
		return DefaultMemoryMB << 20
	}
	return m.MemoryMB << 20
}

func millisecondsOrDefault(ms int64, d time.Duration) time.Duration {
	if ms == 0 {
		return d
	}
	return time.Duration(ms) * time.Millisecond
}

// checkMesh checks what is only in a mesh's file; its error is an *Error.
func (n *Node) checkMesh() error {
	m := n.Mesh
	if m == nil {
		return nil
	}
	if m.Service == "" {
		return &Error{"/mesh/service", "is required"}
	}
	for _, a := range []struct{ path, value string }{{"/mesh/backend", m.Backend}, {"/mesh/ready", m.Ready}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return &Error{a.path, fmt.Sprintf("%q: want IP:port", a.value)}
		}
	}
	if len(m.Domains) == 0 {
		return &Error{"/mesh/domains", "is required"}
	}
	numbers := []struct {
		path  string
		value float64
	}{
		{"/mesh/heartbeatMs", float64(m.HeartbeatMs)}, {"/mesh/keyStalenessMs", float64(m.KeyStalenessMs)},
		{"/mesh/stopSeconds", m.StopSeconds}, {"/mesh/retryRatio", m.RetryRatio},
		{"/mesh/retryReserve", m.RetryReserve},
		{"/mesh/memoryMb", float64(m.MemoryMB)},
	}
	for _, x := range numbers {
		if x.value < 0 {
			return &Error{x.path, "must not be negative"}
		}
	}
	return nil
}
