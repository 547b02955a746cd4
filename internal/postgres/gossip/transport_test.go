package gossip

import (
	"testing"

	"github.com/shoenig/test/must"

	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/peer"
)

// A node that has both keys must accept and be understood by nodes with either key, so
// that keys can be changed node by node.
func TestRollingKeyChange(t *testing.T) {
	oldKeys, both, newKeys := peer.Keys{"old-0123456789abcdef"}, peer.Keys{"new-0123456789abcdef", "old-0123456789abcdef"}, peer.Keys{"new-0123456789abcdef"}
	message := &membership.Message{Kind: membership.Ack, From: "a", Sequence: 9}
	for name, tc := range map[string]struct {
		from, to peer.Keys
		ok       bool
	}{
		"old to both": {oldKeys, both, true}, "both to new": {both, newKeys, true}, "old to new": {oldKeys, newKeys, false}, "new to old": {newKeys, oldKeys, false},
	} {
		datagram, err := Encode(tc.from, message)
		must.NoError(t, err)
		decoded, err := Decode(tc.to, datagram)
		must.Eq(t, tc.ok, err == nil, must.Sprint(name))
		if tc.ok {
			must.Eq(t, *message, decoded)
		}
	}
}

// A modified or truncated datagram must be rejected.
func TestDamagedDatagrams(t *testing.T) {
	keys := peer.Keys{"key-0123456789abcdef"}
	datagram, err := Encode(keys, &membership.Message{From: "a"})
	must.NoError(t, err)
	for index := range datagram {
		damaged := append([]byte(nil), datagram...)
		damaged[index] ^= 1
		_, err := Decode(keys, damaged)
		must.Error(t, err)
		_, err = Decode(keys, datagram[:index])
		must.Error(t, err)
	}
}

// Arbitrary datagrams, with and without a valid digest, must not make Decode panic.
func FuzzDecode(f *testing.F) {
	keys := peer.Keys{"key-0123456789abcdef"}
	seed, err := Encode(keys, &membership.Message{From: "a"})
	must.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(keys, data)
		signed := append(keys.Prove(digestContext, data)[:digestBytes:digestBytes], data...)
		_, _ = Decode(keys, signed)
	})
}
