package bootstrap

import (
	"net"
	"strconv"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"
)

const (
	maxNodeNameBytes = 200
	maxPort          = 1<<16 - 1
)

// Validate implements validation.Validatable.
func (s *Settings) Validate() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.NodeName, validation.Required, validation.Length(1, maxNodeNameBytes)),
		validation.Field(&s.IP, validation.Required, validation.By(ipAddress)),
		validation.Field(&s.Addresses),
		validation.Field(&s.SparePorts, validation.Required, validation.Length(2, 2),
			validation.Each(validation.Min(1), validation.Max(maxPort))),
		validation.Field(&s.SeedNodes, validation.Required, validation.Each(validation.By(hostPort))),
		validation.Field(&s.AppAddr, validation.By(hostPort)),
		validation.Field(&s.HeartbeatIntervalS, validation.Min(0.)),
	)
}

// Validate implements validation.Validatable.
func (a Addresses) Validate() error {
	return validation.ValidateStruct(&a,
		validation.Field(&a.Incoming, validation.By(hostPort)),
		validation.Field(&a.Advertised, validation.By(hostPort)),
		validation.Field(&a.PeerListen, validation.By(hostPort)),
		validation.Field(&a.Outgoing, validation.By(hostPort)),
		validation.Field(&a.Readiness, validation.By(hostPort)),
		validation.Field(&a.Control, validation.By(hostPort)),
	)
}

// ipAddress is a rule of package validation: the value is a string with an IP address.
func ipAddress(value any) error {
	if text, _ := value.(string); net.ParseIP(text) == nil {
		return errors.New("is not an IP address")
	}
	return nil
}

// hostPort is a rule of package validation: the value is a string with an IP address and a port, or empty.
func hostPort(value any) error {
	text, _ := value.(string)
	if text == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return errors.Errorf("%q is not host:port", text)
	}
	if n, err := strconv.Atoi(port); net.ParseIP(host) == nil || err != nil || n < 0 || n > maxPort {
		return errors.Errorf("%q is not an IP address with a port", text)
	}
	return nil
}
