package catalog

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// TestInvalidTenantsAreRejected guards against invalid tenants in a configuration, and against keys
// in error messages.
func TestInvalidTenantsAreRejected(t *testing.T) {
	const secret = "secret-key"
	key := []KeyDigest{DigestKey(secret)}
	for message, tenants := range map[string][]Tenant{
		"one of them":  {{Name: "a", Keys: key}, {Name: "b", Keys: key}},
		"one entry":    {{Name: "a"}, {Name: "a"}},
		"rename":       {{Name: "a b"}},
		"is empty":     {{Name: ""}},
		"numbers from": {{Name: "a", Quota: &Quota{PerSecond: -1}}},
		"no limit":     {{Name: "a", Quota: &Quota{PerSecond: 1, Burst: math.NaN()}}},
	} {
		err := new(Configuration).SetTenants(tenants)
		must.ErrorContains(t, err, message)
		must.StrNotContains(t, err.Error(), secret)
	}
	must.NoError(t, new(Configuration).SetTenants([]Tenant{{Name: "a"}, {Name: "b", Keys: append(key, key...), Quota: &Quota{}}}))
}

// TestIdentify guards against access without a key to a route that isn't public once there are
// tenants.
func TestIdentify(t *testing.T) {
	publicRoute, privateRoute := Route{Public: true}, Route{}
	withoutTenants := new(Configuration)
	_, access := withoutTenants.Identify(&privateRoute, DigestKey("any"))
	must.Eq(t, Anonymous, access)
	withTenants := new(Configuration)
	must.NoError(t, withTenants.SetTenants([]Tenant{{Name: "a", Keys: []KeyDigest{DigestKey("k1"), DigestKey("k2")}}}))
	for key, expected := range map[string]Access{"k1": Identified, "k2": Identified, "k": Denied, "": Denied, "a": Denied} {
		_, access = withTenants.Identify(&privateRoute, DigestKey(key))
		must.Eq(t, expected, access, must.Sprint(key))
	}
	tenant, access := withTenants.Identify(&publicRoute, DigestKey("k1"))
	must.Eq(t, "a", tenant)
	must.Eq(t, Identified, access)
	_, access = withTenants.Identify(&publicRoute, DigestKey("other"))
	must.Eq(t, Anonymous, access)
	tenantsRemoved := new(Configuration)
	must.NoError(t, tenantsRemoved.SetTenants(nil))
	_, access = tenantsRemoved.Identify(&privateRoute, DigestKey("any"))
	must.Eq(t, Denied, access, must.Sprint("removing all tenants must not give access to everybody"))
}

// TestKeyDigestJSONRoundTrip guards against key digests that are lost in JSON, in which
// stand-in stores keep configurations.
func TestKeyDigestJSONRoundTrip(t *testing.T) {
	written := new(Configuration)
	must.NoError(t, written.SetTenants([]Tenant{{Name: "a", Keys: []KeyDigest{DigestKey("k")}}}))
	content, err := json.Marshal(written)
	must.NoError(t, err)
	var read Configuration
	must.NoError(t, json.Unmarshal(content, &read))
	must.Eq(t, "a", read.Keys[DigestKey("k")])
	var digest KeyDigest
	must.Error(t, digest.UnmarshalText([]byte("00")))
}

func BenchmarkIdentify(b *testing.B) {
	for _, count := range []int{1, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			configuration, route := new(Configuration), Route{}
			tenants := make([]Tenant, count)
			for i := range tenants {
				tenants[i] = Tenant{Name: fmt.Sprint("t", i), Keys: []KeyDigest{DigestKey(fmt.Sprint("k", i)), DigestKey(fmt.Sprint("l", i))}}
			}
			if err := configuration.SetTenants(tenants); err != nil {
				b.Fatal(err)
			}
			key := DigestKey("k0")
			b.ReportAllocs()
			for b.Loop() {
				if _, access := configuration.Identify(&route, key); access != Identified {
					b.Fatal("not found")
				}
			}
		})
	}
}
