// Package config defines the configuration that operators write: its JSON form, its validation, and how a request's host and path are
// matched to a route. It has no I/O and no state.
//
// Start reading at Document, then Parse.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"firplank/internal/strictjson"
	"firplank/mesh/configversion"
)

// versionDigits is the number of hexadecimal digits of a version.
const versionDigits = 8

// Config is a validated configuration, indexed for matching. It is immutable, and safe for concurrent use.
type Config struct {
	Version  configversion.Version
	Document *Document
	Services map[string]*Service // by name

	hosts map[string]map[string]*Route // by host in lower case, then by prefix
}

// Parse parses and validates a configuration that an operator sends. It has to be readable completely and in one way, as package
// strictjson describes, and to have both lists. Its errors wrap ErrTooLarge, or are a *SyntaxError with the line or an *InvalidError
// with the field. The text is not retained.
func Parse(text []byte) (*Config, error) {
	if err := checkSize(text); err != nil {
		return nil, err
	}
	doc := &Document{}
	if err := strictjson.Unmarshal(text, doc); err != nil {
		return nil, syntaxError(text, err)
	}
	if err := doc.checkLists(); err != nil {
		return nil, err
	}
	return newConfig(doc)
}

// ParseCommitted parses a configuration that was committed, perhaps by a release whose Parse accepted more. It reads such a text as that
// release did: of a name that is repeated the last value holds, and what follows the document is ignored. Of a text that Parse accepts both
// return the same. Errors are those of Parse.
func ParseCommitted(text []byte) (*Config, error) {
	if err := checkSize(text); err != nil {
		return nil, err
	}
	doc := &Document{}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(doc); err != nil {
		return nil, syntaxError(text, err)
	}
	return newConfig(doc)
}

func checkSize(text []byte) error {
	if len(text) > MaxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes, more than %d", len(text), MaxBytes)
	}
	return nil
}

// newConfig validates and indexes a document.
func newConfig(doc *Document) (*Config, error) {
	version, err := strconv.ParseUint(doc.Version, 16, 32)
	if err != nil || len(doc.Version) != versionDigits {
		return nil, invalid("edition", errors.Errorf("%q is not eight hexadecimal digits", doc.Version))
	}
	c := &Config{
		Version:  configversion.Of(uint32(version)),
		Document: doc,
		Services: map[string]*Service{},
		hosts:    map[string]map[string]*Route{},
	}
	if err := c.build(); err != nil {
		return nil, err
	}
	return c, nil
}

// build validates the document and indexes it.
func (c *Config) build() error {
	doc := c.Document
	err := validation.ValidateStruct(doc,
		validation.Field(&doc.Services, validation.Length(0, MaxServices)),
		validation.Field(&doc.VirtualHosts, validation.Length(0, MaxRoutes)),
		validation.Field(&doc.Limits),
	)
	if err != nil {
		return invalid("", err)
	}
	if err := c.addServices(); err != nil {
		return err
	}
	routes := 0
	for i := range doc.VirtualHosts {
		if routes += len(doc.VirtualHosts[i].Routes); routes > MaxRoutes {
			return invalid("", errors.Errorf("more than %d routes", MaxRoutes))
		}
		if err := c.addVirtualHost(fmt.Sprintf("gates[%d]", i), &doc.VirtualHosts[i]); err != nil {
			return err
		}
	}
	c.assignRanks()
	return nil
}

func (c *Config) addServices() error {
	for i := range c.Document.Services {
		s := &c.Document.Services[i]
		path := fmt.Sprintf("fleets[%d].name", i)
		if s.Name == "" {
			return invalid(path, ErrMissing)
		}
		if c.Services[s.Name] != nil {
			return invalid(path, errors.Errorf("%q %w", s.Name, ErrDuplicate))
		}
		c.Services[s.Name] = s
	}
	return nil
}

func (c *Config) addVirtualHost(path string, v *VirtualHost) error {
	host := strings.ToLower(v.Host)
	if host == "" {
		return invalid(path+".depot", ErrMissing)
	}
	routes := c.hosts[host]
	if routes == nil {
		routes = map[string]*Route{}
		c.hosts[host] = routes
	}
	for i := range v.Routes {
		routePath := fmt.Sprintf("%s.regulations[%d]", path, i)
		r, err := c.newRoute(&v.Routes[i])
		if err != nil {
			return invalid(routePath, err)
		}
		prefix := r.Match.Prefix
		if routes[prefix] != nil {
			return invalid(routePath, errors.Errorf("%s%s %w", host, prefix, ErrDuplicate))
		}
		routes[prefix] = r
	}
	return nil
}

// Match returns the route of a request: of the routes of its host, the one with the longest prefix of its path. It returns nil if there is
// none. The host may contain a port.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes := c.hosts[host]
	if routes == nil {
		if routes = c.hosts[strings.ToLower(host)]; routes == nil {
			return nil
		}
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() (n int) {
	for _, routes := range c.hosts {
		n += len(routes)
	}
	return n
}

// allRoutes yields all routes in no particular order.
func (c *Config) allRoutes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range c.hosts {
			for _, r := range routes {
				if !yield(r) {
					return
				}
			}
		}
	}
}
