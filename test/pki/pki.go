// Package pki makes short-lived authorities and certificates for tests.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"comfreycart.dev/comfreycart/internal/certs"
)

// Authority signs certificates into a folder.
type Authority struct {
	dir  string
	certFile string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New makes an authority whose certificate is dir/name.pem.
func New(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, certFile: filepath.Join(dir, name+".pem"), cert: cert, key: key}
	return a, writePEM(a.certFile, "CERTIFICATE", der)
}

// Sign writes a certificate for the addresses that is valid until the time, and
// returns its files.
func (a *Authority) Sign(name string, until time.Time, ips ...net.IP) (*certs.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, IPAddresses: ips,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	f := &certs.Files{Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: a.certFile}
	if err := writePEM(f.Key, "EC PRIVATE KEY", raw); err != nil {
		return nil, err
	}
	return f, writePEM(f.Cert, "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
