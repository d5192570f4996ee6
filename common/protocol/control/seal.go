// Package control authenticates and encodes the control messages that processes
// exchange in datagrams.
//
// # Usage
//
//	key, err := control.NewKey(secret)
//	b, err := key.Seal(&controlv1.Datagram{Body: ...})
//	message, err := key.Open(b)
//
// A sealed message is an HMAC-SHA256, truncated to 16 bytes, followed by the protobuf
// encoding. A message with a wrong authentication code is rejected before it is decoded.
package control

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
)

const (
	// MinSecretBytes is the minimum length of a secret.
	MinSecretBytes = 16

	// macBytes is the length of the truncated message authentication code.
	macBytes = 16
)

var (
	// Error is the class of this package's errors.
	Error = errs.Class("control")
	// ErrForged is returned for a message whose authentication code does not match.
	ErrForged = Error.New("message authentication code does not match")
)

// Key authenticates control messages with a secret that all processes share.
type Key struct {
	secret []byte
}

// NewKey returns the key for the secret. It is an error if the secret is shorter than
// MinSecretBytes.
func NewKey(secret string) (Key, error) {
	if len(secret) < MinSecretBytes {
		return Key{}, Error.New("secret of %d bytes is shorter than %d", len(secret), MinSecretBytes)
	}
	return Key{secret: []byte(secret)}, nil
}

// MAC returns the message authentication code of b, macBytes long.
func (k Key) MAC(b []byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write(b)
	return mac.Sum(nil)[:macBytes]
}

// Verify returns ErrForged unless mac is the message authentication code of b.
func (k Key) Verify(b, mac []byte) error {
	if !hmac.Equal(k.MAC(b), mac) {
		return ErrForged
	}
	return nil
}

// Seal encodes the message and prepends its authentication code.
func (k Key) Seal(m *controlv1.Datagram) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(k.MAC(b), b...), nil
}

// Open verifies and decodes a sealed message. It returns ErrForged if the authentication
// code does not match, and another error if the message is too short or malformed.
func (k Key) Open(b []byte) (*controlv1.Datagram, error) {
	if len(b) < macBytes {
		return nil, Error.New("short message of %d bytes", len(b))
	}
	if err := k.Verify(b[macBytes:], b[:macBytes]); err != nil {
		return nil, err
	}
	var m controlv1.Datagram
	if err := proto.Unmarshal(b[macBytes:], &m); err != nil {
		return nil, Error.Wrap(err)
	}
	return &m, nil
}
