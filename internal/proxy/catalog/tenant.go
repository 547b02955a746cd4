package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// KeyDigest stands for a caller's API key. Keys are secrets: a node keeps, compares and
// looks up digests only, so that no key reaches a log and the time of a lookup tells
// nothing of one.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Errorf("a key's digest has %d hexadecimal digits; write it with MarshalText", 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "decode a key's digest")
}

// Quota is what a tenant's operations may be over all nodes: a rate, and how many more at
// once.
type Quota struct {
	PerSecond float64
	Burst     float64
}

// Tenant is a customer of the operator, on whose behalf callers work.
type Tenant struct {
	Name string
	Keys []KeyDigest
	// Quota is nil for a tenant without a limit.
	Quota *Quota
	// Homes are the regions to which the tenant's work may go.
	Homes Homes
}

// SetTenants gives the configuration its tenants, from whom on callers need a key. It
// refuses tenants that cannot be told apart, or whose quota has no meaning.
func (c *Configuration) SetTenants(tenants []Tenant) error {
	c.Tenants = make(map[string]Tenant, len(tenants))
	c.Keys = make(map[KeyDigest]string, 2*len(tenants))
	for i := range tenants {
		if err := c.addTenant(&tenants[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) addTenant(tenant *Tenant) error {
	if err := checkTenantName(tenant.Name); err != nil {
		return err
	}
	if _, twice := c.Tenants[tenant.Name]; twice {
		return errors.Errorf("tenant %q is named twice; give each tenant one entry", tenant.Name)
	}
	if quota := tenant.Quota; quota != nil && !(quota.PerSecond >= 0 && quota.Burst >= 0) {
		return errors.Errorf("tenant %q has a rate of %v and a burst of %v; use numbers from 0, or leave both out for no limit",
			tenant.Name, quota.PerSecond, quota.Burst)
	}
	for _, key := range tenant.Keys {
		if other, held := c.Keys[key]; held && other != tenant.Name {
			return errors.Errorf("a key is held by tenants %q and %q; give it to one of them", other, tenant.Name)
		}
		c.Keys[key] = tenant.Name
	}
	c.Tenants[tenant.Name] = *tenant
	c.HasQuotas = c.HasQuotas || tenant.Quota != nil
	c.HasHomes = c.HasHomes || len(tenant.Homes) > 0
	return nil
}

// checkTenantName refuses names that servers cannot be told: they are one word of a line.
func checkTenantName(name string) error {
	odd := strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
	if name == "" || odd {
		return errors.Errorf("tenant name %q is empty or has blanks or control characters; rename the tenant", name)
	}
	return nil
}

// Access is what a caller's key allows on a route.
type Access uint8

// The kinds of access.
const (
	// Denied: the route needs a key that the configuration does not hold.
	Denied Access = iota
	// Anonymous: the route needs no key, and the caller has none that is known.
	Anonymous
	// Identified: the key is a tenant's.
	Identified
)

// Identify returns the tenant whose key a caller brings to a route, and what it may do.
func (c *Configuration) Identify(route *Route, key KeyDigest) (tenant string, access Access) {
	if name, found := c.Keys[key]; found {
		return name, Identified
	}
	if route.Public || c.Tenants == nil {
		return "", Anonymous
	}
	return "", Denied
}
