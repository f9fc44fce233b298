// Package certs provides TLS configurations whose certificates and certificate authority are
// reloaded from their files when these change, without a restart.
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

// checkInterval is the minimum time between two checks whether the files have changed.
const checkInterval = time.Second

// Files holds the paths of the PEM files of one listener. CA is set if clients are verified too.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca,omitempty"`
}

// Error reports a file that cannot be used, and the reason.
type Error struct {
	File string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("certificate file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// certificates holds the parsed content of Files. roots is nil without a CA.
type certificates struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// Source provides the certificates in files and reloads them when the files change. It is safe
// for concurrent use.
type Source struct {
	files Files
	log   zerolog.Logger

	mu        sync.Mutex
	loaded    *certificates
	modTimes  [3]time.Time
	lastCheck time.Time
}

// NewSource reads the files. Its error is an *Error.
func NewSource(f Files, log zerolog.Logger) (*Source, error) {
	s := &Source{files: f, log: log, modTimes: readModTimes(f), lastCheck: time.Now()}
	loaded, err := load(f)
	s.loaded = loaded
	return s, err
}

// current returns the newest valid certificates. If changed files cannot be used, the last valid
// certificates stay in use.
func (s *Source) current() *certificates {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.loaded
	}
	s.lastCheck = time.Now()
	newModTimes := readModTimes(s.files)
	if newModTimes == s.modTimes {
		return s.loaded
	}
	s.modTimes = newModTimes
	loaded, err := load(s.files)
	if err != nil {
		s.log.Error().Err(err).Msg("new certificate not used")
		return s.loaded
	}
	s.log.Info().Str("file", s.files.Cert).Msg("certificate reloaded")
	s.loaded = loaded
	return loaded
}

// ServerConfig returns the TLS configuration of a listener. With a CA, clients must present a
// certificate that it signed.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := s.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.cert}, NextProtos: []string{"h2", "http/1.1"}}
			if loaded.roots != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = loaded.roots
				c.NextProtos = nil
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to a peer. It presents the
// certificate and requires one that the CA signed. Host names are not verified: peers are
// addressed by IP addresses that change with their VMs, so the CA's signature alone identifies a
// node.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current().cert, nil
		},
		// VerifyConnection verifies the chain in place of the built-in verification, which
		// requires a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, s.current().roots)
		},
	}
}

// verifyChain verifies the peer's certificate chain against roots.
func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// load reads and parses the files. Its error is an *Error.
func load(f Files) (*certificates, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &Error{f.Cert, err}
	}
	loaded := &certificates{cert: cert}
	if f.CA == "" {
		return loaded, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &Error{f.CA, err}
	}
	loaded.roots = x509.NewCertPool()
	if !loaded.roots.AppendCertsFromPEM(pem) {
		return nil, &Error{f.CA, errors.New("contains no certificate")}
	}
	return loaded, nil
}

// readModTimes returns the modification times of the files, zero for those that cannot be
// accessed.
func readModTimes(f Files) (out [3]time.Time) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
