package proxy_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
)

// testTenants are the tenants of all simulated fleets, with their API keys.
var testTenants = map[string][]string{
	"amber": {"amber-key-7f31"}, "birch": {"birch-key-a0c4", "birch-key-19de"}, "cedar": {"cedar-key-55b2"},
}

// tenantOf assigns a caller to a tenant by the last character of its name.
func tenantOf(caller string) string {
	names := []string{"amber", "birch", "cedar"}
	return names[int(caller[len(caller)-1])%len(names)]
}

// testConfiguration returns a configuration of the simulated fleets with keys by tenant.
func testConfiguration(version uint64, keys map[string][]string) *catalog.Configuration {
	configuration := &catalog.Configuration{
		Version: version, Routes: testRoutes, TransactionIdle: time.Second,
		Services: map[string]catalog.Service{testService: {Name: testService, MaxConnections: 24}},
	}
	var tenants []catalog.Tenant
	for name, tenantKeys := range keys {
		tenant := catalog.Tenant{Name: name}
		for _, key := range tenantKeys {
			tenant.Keys = append(tenant.Keys, catalog.DigestKey(key))
		}
		tenants = append(tenants, tenant)
	}
	if err := configuration.SetTenants(tenants); err != nil {
		panic(err)
	}
	return configuration
}

// without returns testTenants with all keys of one tenant removed.
func without(tenant string) map[string][]string {
	keys := maps.Clone(testTenants)
	keys[tenant] = nil
	return keys
}

// open opens a session on a node. If it is rejected, it returns the failure.
func (f *simulatedFleet) open(t *testing.T, node int, database, key string) (*memoryClient, *failure.Error) {
	t.Helper()
	f.mutex.Lock()
	listener := f.listeners[node]
	f.mutex.Unlock()
	client := newMemoryClient(database, key)
	listener.pending <- client
	reply := <-client.replies
	return client, reply.Failure
}

// ask sends a command and returns the failure of its answer.
func ask(client *memoryClient, kind command.Kind, id, text string) *failure.Error {
	client.commands <- command.Command{Kind: kind, RequestID: id, Text: text}
	return (<-client.replies).Failure
}

func kindOf(reason *failure.Error) failure.Kind {
	if reason == nil {
		return failure.None
	}
	return reason.Kind
}

// TestOnlyKnownKeysAreServed guards against sessions without a valid key.
func TestOnlyKnownKeysAreServed(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fewNodes, 0, nothingBroken)
		time.Sleep(3 * time.Second)
		for _, key := range testTenants["birch"] {
			_, refusal := fleet.open(t, 0, "session", key)
			must.Nil(t, refusal)
		}
		for _, key := range []string{
			"", "birch", "birch-key-a0c", strings.Repeat("k", 64<<10),
			"birch-key-a0c4 ",
		} {
			began := time.Now()
			_, refusal := fleet.open(t, 0, "session", key)
			must.Eq(t, failure.UnknownKey, kindOf(refusal))
			must.Less(t, time.Second, time.Since(began))
		}
		fleet.end()
	})
}

// TestKeyIsRevoked guards against a tenant that goes on after its keys were revoked: its commands
// must be rejected and its open transaction rolled back. Other tenants must not be affected.
func TestKeyIsRevoked(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fewNodes, 0, nothingBroken)
		time.Sleep(3 * time.Second)
		idle, _ := fleet.open(t, 0, "current", "amber-key-7f31")
		inTransaction, _ := fleet.open(t, 1, "current", "amber-key-7f31")
		other, _ := fleet.open(t, 1, "current", "cedar-key-55b2")
		must.Nil(t, ask(inTransaction, command.Begin, "b", "BEGIN"))
		must.Nil(t, ask(inTransaction, command.Write, "w", "WRITE seat taken"))
		fleet.store.Put(managed.ConfigurationKind, "main", testConfiguration(2, without("amber")))
		time.Sleep(time.Second)
		must.Eq(t, failure.UnknownKey, kindOf(ask(idle, command.Read, "r", "READ seat")))
		must.Eq(t, failure.TransactionLost, kindOf(ask(inTransaction, command.Commit, "c", "COMMIT")))
		must.Eq(t, failure.UnknownKey, kindOf(ask(inTransaction, command.Read, "r2", "READ seat")))
		must.Nil(t, ask(other, command.Read, "r3", "READ seat"))
		must.Eq(t, 0, fleet.check.Writes, must.Sprint("committed writes of a revoked key"))
		_, refusal := fleet.open(t, 2, "current", "amber-key-7f31")
		must.Eq(t, failure.UnknownKey, kindOf(refusal))
		fleet.end()
	})
}

// TestKeyIsRevokedWhileTheStoreRejectsSome guards against a node that accepts a revoked key after
// the configuration's bound because the store doesn't answer that node.
func TestKeyIsRevokedWhileTheStoreRejectsSome(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fewNodes, 0, nothingBroken)
		time.Sleep(3 * time.Second)
		fleet.store.SetIsolated("node-2", true)
		session, _ := fleet.open(t, 2, "session", "amber-key-7f31")
		fleet.store.Put(managed.ConfigurationKind, "main", testConfiguration(2, without("amber")))
		time.Sleep(4 * time.Second)
		must.Eq(t, failure.UnknownKey, kindOf(ask(session, command.Read, "r", "READ seat")))
		fleet.end()
	})
}

// TestNewKeyIsFoundAtOnce guards against a rejected new key on a node that has not received the
// change yet, because the store doesn't answer that node.
func TestNewKeyIsFoundAtOnce(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fewNodes, 0, nothingBroken)
		time.Sleep(3 * time.Second)
		fleet.store.SetIsolated("node-2", true)
		time.Sleep(1500 * time.Millisecond)
		keys := maps.Clone(testTenants)
		keys["amber"] = append([]string{"amber-key-new"}, keys["amber"]...)
		fleet.store.Put(managed.ConfigurationKind, "main", testConfiguration(2, keys))
		time.Sleep(50 * time.Millisecond)
		_, refusal := fleet.open(t, 2, "session", "amber-key-new")
		must.Nil(t, refusal)
		fleet.end()
	})
}

// TestKeysReachNoLog guards against keys or their digests in the event log.
func TestKeysReachNoLog(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := prepareFleet(fleetConfig{nodes: fewNodes})
		fleet.log.Close()
		written := &lockedBuffer{}
		fleet.log = eventlog.New(written, eventlog.Config{Node: "simulation", LinesPerSecond: 1_000_000})
		fleet.startNodes()
		time.Sleep(3 * time.Second)
		_, _ = fleet.open(t, 0, "session", "unknown-key-e77a")
		fleet.store.Put(managed.ConfigurationKind, "main", testConfiguration(2, without("amber")))
		result := simulateOn(fleet, 3, 15*time.Second)
		must.Positive(t, result.served)
		secrets := []string{"unknown-key-e77a"}
		for _, keys := range testTenants {
			secrets = append(secrets, keys...)
		}
		for _, secret := range secrets {
			digest := catalog.DigestKey(secret)
			text, err := digest.MarshalText()
			must.NoError(t, err)
			must.False(t, bytes.Contains(written.Bytes(), []byte(secret)),
				must.Sprint("a log line holds a key"))
			must.False(t, bytes.Contains(written.Bytes(), text[:16]),
				must.Sprint("a log line holds a key's digest"))
		}
		must.Positive(t, bytes.Count(written.Bytes(), []byte("\n")))
	})
}

// TestManyTenantsShareFewConnections guards against tenants that are not served on a node with
// twelve times as many active tenants as connections to a server.
func TestManyTenantsShareFewConnections(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const tenants = 288
		fleet := prepareFleet(fleetConfig{nodes: 1})
		keys := map[string][]string{}
		for i := range tenants {
			keys[fmt.Sprintf("tenant-%d", i)] = []string{fmt.Sprintf("key-%d", i)}
		}
		fleet.store.Put(managed.ConfigurationKind, "main", testConfiguration(2, keys))
		fleet.startNodes()
		time.Sleep(3 * time.Second)
		clients := make([]*memoryClient, 0, tenants)
		for i := range tenants {
			client, refusal := fleet.open(t, 0, "session", fmt.Sprintf("key-%d", i))
			must.Nil(t, refusal)
			clients = append(clients, client)
		}
		random := rand.New(rand.NewPCG(1, 1))
		failed, total := 0, 0
		for round := range 20 {
			for i, client := range clients {
				if random.IntN(tenants) < 24 {
					id := fmt.Sprintf("%d.%d", round, i)
					total++
					if ask(client, command.Read, id, "READ seat") != nil {
						failed++
					}
				}
			}
		}
		must.Less(t, total/50+1, failed)
		fleet.end()
	})
}

// TestStrictRevocation guards against a node that accepts keys although its knowledge of the valid
// keys is older than the bound. Without the setting, the node must go on.
func TestStrictRevocation(t *testing.T) {
	for _, strict := range []bool{false, true} {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := prepareFleet(fleetConfig{nodes: 1, strictRevocation: strict})
			fleet.startNodes()
			time.Sleep(3 * time.Second)
			session, refusal := fleet.open(t, 0, "session", "amber-key-7f31")
			must.Nil(t, refusal)
			fleet.store.SetIsolated("node-0", true)
			// A watch that takes up to 2.2 s counts as heard from its beginning.
			time.Sleep(2 * time.Second)
			must.Nil(t, ask(session, command.Read, "r1", "READ seat"))
			time.Sleep(8 * time.Second)
			reason := ask(session, command.Read, "r2", "READ seat")
			if !strict {
				must.Nil(t, reason)
			} else {
				must.Eq(t, failure.Isolated, kindOf(reason))
				must.True(t, reason.Kind.NotRun())
				fleet.store.SetIsolated("node-0", false)
				time.Sleep(3 * time.Second)
				must.Nil(t, ask(session, command.Read, "r3", "READ seat"))
			}
			fleet.end()
		})
	}
}
