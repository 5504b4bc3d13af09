package collectd

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
)

// Security is the security level of packets, as in collectd's network plugin.
type Security uint8

// The security levels.
const (
	Plain   Security = iota
	Sign             // with HMAC-SHA-256
	Encrypt          // with AES-256 in OFB mode, which covers the parts and their SHA-1 checksum
)

// Sealer signs or encrypts packets for a user whose password the receiver knows. A nil Sealer leaves them unchanged.
type Sealer struct {
	security Security
	user     string
	password []byte
	random   io.Reader // for initialization vectors
}

// NewSealer returns a sealer, or nil for Plain.
func NewSealer(s Security, user, password string) *Sealer {
	if s == Plain {
		return nil
	}
	return &Sealer{security: s, user: user, password: []byte(password), random: rand.Reader}
}

// overheadBytes returns the number of bytes that seal adds.
func (s *Sealer) overheadBytes() int {
	switch {
	case s == nil:
		return 0
	case s.security == Sign:
		return 4 + sha256.Size + len(s.user)
	}
	return 4 + 2 + len(s.user) + aes.BlockSize + sha1.Size
}

// seal returns the parts of a packet, signed or encrypted.
func (s *Sealer) seal(parts []byte) ([]byte, error) {
	if s == nil {
		return parts, nil
	}
	out := make([]byte, 0, len(parts)+s.overheadBytes())
	if s.security == Sign {
		out = binary.BigEndian.AppendUint16(out, partSignature)
		out = binary.BigEndian.AppendUint16(out, uint16(s.overheadBytes()))
		mac := hmac.New(sha256.New, s.password)
		mac.Write([]byte(s.user))
		mac.Write(parts)
		return append(append(mac.Sum(out), s.user...), parts...), nil
	}
	iv := make([]byte, aes.BlockSize)
	if _, err := io.ReadFull(s.random, iv); err != nil {
		return nil, fmt.Errorf("collectd: initialization vector: %w", err)
	}
	key := sha256.Sum256(s.password)
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, fmt.Errorf("collectd: %w", err)
	}
	out = binary.BigEndian.AppendUint16(out, partEncryption)
	out = binary.BigEndian.AppendUint16(out, uint16(len(parts)+s.overheadBytes()))
	out = binary.BigEndian.AppendUint16(out, uint16(len(s.user)))
	out = append(append(out, s.user...), iv...)
	sum := sha1.Sum(parts)
	plaintext := append(sum[:], parts...)
	//lint:ignore SA1019 OFB is the mode that collectd's protocol prescribes
	cipher.NewOFB(block, iv).XORKeyStream(plaintext, plaintext)
	return append(out, plaintext...), nil
}
