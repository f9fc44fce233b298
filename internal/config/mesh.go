package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Mesh is the part of the configuration of a node in a service mesh. There, callers and the VM's
// own backend server send their requests to the same listener, and operators keep the settings
// at the platform.
type Mesh struct {
	// Service is the service of the VM's backend server, and Backend its address as IP:port.
	Service string `json:"service"`
	Backend string `json:"backend"`
	// Ready is the address of the listener for readiness checks of the platform, as IP:port.
	Ready string `json:"ready"`
	// Domains lists all failure domains of the deployment. The rate limit tokens of each client
	// account are divided among them.
	Domains []string `json:"domains"`
	// HeartbeatMs is the interval between heartbeats of the backend server, in milliseconds.
	HeartbeatMs int64 `json:"heartbeatMs,omitempty"`
	// KeyStalenessMs is how long a withdrawn key may still be accepted, in milliseconds.
	KeyStalenessMs int64 `json:"keyStalenessMs,omitempty"`
	// StopSeconds is the maximum duration of a planned stop, in seconds.
	StopSeconds float64 `json:"stopSeconds,omitempty"`
	// RetryRatio is the number of retries per request that a service may receive from all nodes
	// together. RetryReserve is the number of retries that it may receive in addition within a
	// few seconds.
	RetryRatio   float64 `json:"retryRatio,omitempty"`
	RetryReserve float64 `json:"retryReserve,omitempty"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int64 `json:"memoryMb,omitempty"`
}

// Defaults of optional values of Mesh.
const (
	DefaultHeartbeatInterval = 1500 * time.Millisecond
	DefaultKeyStaleness      = 5 * time.Second
	DefaultStopTimeout       = 6 * time.Second
	DefaultRetryRatio        = 0.2
	DefaultMemoryMB          = 256
)

// Upper bounds of numbers in the file.
const (
	// maxTimeMs bounds times, in milliseconds: one day.
	maxTimeMs = 24 * 3600 * 1000
	// maxRetries bounds the retries per request and in addition.
	maxRetries = 1e6
	// maxMemoryMB bounds the memory, in MiB: 1 TiB.
	maxMemoryMB = 1 << 20
)

// maxMissedHeartbeats is how many heartbeats in a row may be missing before a backend server gets
// no new requests. It is this high because heartbeats may arrive seconds late, and because a dead
// backend server is noticed anyway: it refuses connections.
const maxMissedHeartbeats = 6

// readyStalenessFraction is the fraction of the key staleness at which a node reports that it is
// not ready.
const readyStalenessFraction = 0.6

// SilenceTimeout returns how long a backend server still gets new requests after its last
// heartbeat.
func (m *Mesh) SilenceTimeout() time.Duration {
	return maxMissedHeartbeats * millisecondsOrDefault(m.HeartbeatMs, DefaultHeartbeatInterval)
}

// KeyStaleness returns how long a withdrawn key may still be accepted.
func (m *Mesh) KeyStaleness() time.Duration {
	return millisecondsOrDefault(m.KeyStalenessMs, DefaultKeyStaleness)
}

// ReadyStaleness returns the age of the settings from which the node reports that it is not ready.
func (m *Mesh) ReadyStaleness() time.Duration {
	return time.Duration(readyStalenessFraction * float64(m.KeyStaleness()))
}

// StopTimeout returns the maximum duration of a planned stop.
func (m *Mesh) StopTimeout() time.Duration {
	if m.StopSeconds == 0 {
		return DefaultStopTimeout
	}
	return time.Duration(m.StopSeconds * float64(time.Second))
}

// MemoryBytes returns the memory that the process may use, in bytes.
func (m *Mesh) MemoryBytes() int64 {
	if m.MemoryMB == 0 {
		return DefaultMemoryMB << 20
	}
	return m.MemoryMB << 20
}

// millisecondsOrDefault returns ms milliseconds, or d if ms is 0.
func millisecondsOrDefault(ms int64, d time.Duration) time.Duration {
	if ms == 0 {
		return d
	}
	return time.Duration(ms) * time.Millisecond
}

// checkMesh validates the mesh part, if there is one. Its error is an *Error.
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
		path       string
		value, max float64
	}{
		{"/mesh/heartbeatMs", float64(m.HeartbeatMs), maxTimeMs}, {"/mesh/keyStalenessMs", float64(m.KeyStalenessMs), maxTimeMs},
		{"/mesh/stopSeconds", m.StopSeconds, maxTimeMs / 1000}, {"/mesh/retryRatio", m.RetryRatio, maxRetries},
		{"/mesh/retryReserve", m.RetryReserve, maxRetries}, {"/mesh/memoryMb", float64(m.MemoryMB), maxMemoryMB},
	}
	for _, x := range numbers {
		if !(x.value >= 0 && x.value <= x.max) {
			return &Error{x.path, fmt.Sprintf("must be from 0 to %g", x.max)}
		}
	}
	return nil
}
