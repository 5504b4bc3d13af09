package core

import (
	"hash/fnv"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"firplank/balance"
)

// Catalog maps the names of a deployment's classes and tenants to the balancer's numbers, and holds the rules of the
// classes. It is immutable and safe for concurrent use.
type Catalog struct {
	Classes     []balance.Class // by number
	classNames  []string
	tenantNames []string
	classIndex  map[string]int // numbers by name
	tenantIndex map[string]int
}

// ErrDuplicateName is the error for two classes or two tenants of the same name.
var ErrDuplicateName = errors.New("settings: two classes or tenants of one name")

// NewCatalog returns a catalog of classes, with their rules, and tenants, each in the order of the balancer's numbers.
// The only error is ErrDuplicateName.
func NewCatalog(rules []balance.Class, classes, tenants []string) (*Catalog, error) {
	c := &Catalog{
		Classes:     rules,
		classNames:  classes,
		tenantNames: tenants,
		classIndex:  IndexByName(classes),
		tenantIndex: IndexByName(tenants),
	}
	if len(c.classIndex) != len(classes) || len(c.tenantIndex) != len(tenants) {
		return nil, ErrDuplicateName
	}
	return c, nil
}

// IndexByName returns the index of each name.
func IndexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, n := range names {
		index[n] = i
	}
	return index
}

// Class returns the number of the class with a name, and whether there is one.
func (c *Catalog) Class(name string) (int, bool) {
	index, ok := c.classIndex[name]
	return index, ok
}

// Tenant returns the number of the tenant with a name, and whether there is one. In a catalog without tenants any name
// is tenant 0.
func (c *Catalog) Tenant(name string) (int, bool) {
	index, ok := c.tenantIndex[name]
	return index, ok || len(c.tenantIndex) == 0
}

// ClassNames returns the classes' names, in the order of their numbers.
func (c *Catalog) ClassNames() []string { return c.classNames }

// TenantNames returns the tenants' names, in the order of their numbers.
func (c *Catalog) TenantNames() []string { return c.tenantNames }

// Sizes returns the numbers of classes and of tenants.
func (c *Catalog) Sizes() (classes, tenants int) { return len(c.classIndex), len(c.tenantIndex) }

// MaxDeadline returns the longest deadline of all classes, in milliseconds.
func (c *Catalog) MaxDeadline() float64 {
	longest := 0.0
	for i := range c.Classes {
		longest = max(longest, c.Classes[i].Deadline)
	}
	return longest
}

// maxTokenLength is the maximum length of an identifier; those in use have 16 and 32 characters.
const maxTokenLength = 256

// IsToken reports whether text is a valid identifier: 1 to 256 visible ASCII characters, no spaces.
func IsToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxTokenLength
}

// ObjectKey returns the number that identifies the object of a request: text as a hexadecimal number, or, if it is none,
// the FNV-1a hash of text; 0 for an empty text.
func ObjectKey(text string) uint64 {
	if text == "" {
		return 0
	}
	if key, err := strconv.ParseUint(text, 16, 64); err == nil {
		return key
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // a hash's Write does not fail
	return h.Sum64()
}
