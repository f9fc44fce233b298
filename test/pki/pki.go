// Package pki creates certificate authorities and certificates for tests.
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

// Authority is a certificate authority that writes its certificates into a folder.
type Authority struct {
	dir      string
	certFile string
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
}

// New creates an authority that is valid for one hour and writes its certificate to
// dir/name.pem.
func New(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
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

// Sign creates a certificate for the IP addresses that expires at notAfter, and returns the
// paths of its files. The certificate serves as a server's and as a client's.
func (a *Authority) Sign(name string, notAfter time.Time, ips ...net.IP) (*certs.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter, IPAddresses: ips,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	f := &certs.Files{Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: a.certFile}
	if err := writePEM(f.Key, "EC PRIVATE KEY", keyDER); err != nil {
		return nil, err
	}
	return f, writePEM(f.Cert, "CERTIFICATE", der)
}

func writePEM(file, blockType string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
}
