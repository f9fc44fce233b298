// Package certs keeps a listener's certificate, and the authority that peers are
// verified against, in step with their files, without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Files are the PEM files of one listener. CA is set where both sides are verified.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca,omitempty"`
}

// Error says which file cannot be used, and why.
type Error struct {
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("certificate file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// certificates is what one reading of the files gave.
type certificates struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Source reads the files again when they change. It is safe for concurrent use.
type Source struct {
	files Files
	log   zerolog.Logger

	mu      sync.Mutex
	loaded     *certificates
	modTimes   [3]time.Time
	lastCheck time.Time
}

// NewSource reads the files; its error is an *Error.
func NewSource(f Files, log zerolog.Logger) (*Source, error) {
	s := &Source{files: f, log: log, modTimes: readModTimes(f), lastCheck: time.Now()}
	m, err := load(f)
	s.loaded = m
	return s, err
}

// current returns the newest usable certificate; files that cannot be used leave the
// last one in place.
func (s *Source) current() *certificates {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.loaded
	}
	s.lastCheck = time.Now()
	stamp := readModTimes(s.files)
	if stamp == s.modTimes {
		return s.loaded
	}
	s.modTimes = stamp
	m, err := load(s.files)
	if err != nil {
		s.log.Error().Err(err).Msg("new certificate not used")
		return s.loaded
	}
	s.log.Info().Str("file", s.files.Cert).Msg("certificate reloaded")
	s.loaded = m
	return m
}

// ServerConfig returns the settings of a listener. With an authority, clients must show a
// certificate that it signed.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"h2", "http/1.1"}}
			if m.roots != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = m.roots
				c.NextProtos = nil
			}
			return c, nil
		},
	}
}

// ClientConfig returns the settings of a connection to a peer: it shows the certificate and
// demands one that the authority signed. Peers are named by IP numbers that change
// with their VMs, so the authority alone decides who is a node.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current().cert, nil
		},
		// VerifyConnection checks the chain in place of the built-in check, which
		// would demand a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, s.current().roots)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("the peer showed no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: between,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

func load(f Files) (*certificates, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &Error{f.Cert, err}
	}
	m := &certificates{cert: cert}
	if f.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &Error{f.CA, err}
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(pem) {
		return nil, &Error{f.CA, errors.New("holds no certificate")}
	}
	return m, nil
}

// readModTimes returns when the files last changed; a missing one is the zero time.
func readModTimes(f Files) (out [3]time.Time) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
