package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// KeyDigest is the digest of a caller's API key. A node stores and compares only digests, so that
// no key can reach a log and the duration of a lookup reveals nothing about a key.
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
		return errors.Errorf("a key digest must have %d hexadecimal digits; encode it with MarshalText", 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "decode a key digest")
}

// Quota limits the operations of a tenant on all nodes together to a rate, with bursts above it.
type Quota struct {
	PerSecond float64
	Burst     float64
}

// Tenant is a customer of the operator, for whom callers work.
type Tenant struct {
	Name string
	Keys []KeyDigest
	// Quota is nil for a tenant without a limit.
	Quota *Quota
	// Homes are the regions in which the tenant's work may run.
	Homes Homes
}

// SetTenants sets the tenants of the configuration; with tenants, callers need a key. It fails if
// names or keys are not unique, or if a name or a quota is invalid.
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
	if _, duplicate := c.Tenants[tenant.Name]; duplicate {
		return errors.Errorf("tenant %q is listed more than once; give each tenant one entry", tenant.Name)
	}
	if quota := tenant.Quota; quota != nil && !(quota.PerSecond >= 0 && quota.Burst >= 0) {
		return errors.Errorf("tenant %q has a rate of %v and a burst of %v; use numbers from 0 up, or omit both for no limit",
			tenant.Name, quota.PerSecond, quota.Burst)
	}
	for _, key := range tenant.Keys {
		if other, taken := c.Keys[key]; taken && other != tenant.Name {
			return errors.Errorf("tenants %q and %q have the same key; give it to only one of them", other, tenant.Name)
		}
		c.Keys[key] = tenant.Name
	}
	c.Tenants[tenant.Name] = *tenant
	c.HasQuotas = c.HasQuotas || tenant.Quota != nil
	c.HasHomes = c.HasHomes || len(tenant.Homes) > 0
	return nil
}

// checkTenantName rejects names with white space or control characters, since a name is sent to
// servers as a single word of a line.
func checkTenantName(name string) error {
	invalid := strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
	if name == "" || invalid {
		return errors.Errorf("tenant name %q is empty or contains white space or control characters; rename the tenant", name)
	}
	return nil
}

// Access is the access of a caller to a route.
type Access uint8

// The kinds of access.
const (
	// Denied: the route requires a key, and the caller's key is missing or unknown.
	Denied Access = iota
	// Anonymous: the route requires no key, and the caller's key is missing or unknown.
	Anonymous
	// Identified: the key belongs to a tenant.
	Identified
)

// Identify returns a caller's access to a route, and the tenant to which the key belongs.
func (c *Configuration) Identify(route *Route, key KeyDigest) (tenant string, access Access) {
	if name, found := c.Keys[key]; found {
		return name, Identified
	}
	if route.Public || c.Tenants == nil {
		return "", Anonymous
	}
	return "", Denied
}
