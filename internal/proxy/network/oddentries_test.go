package network

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	_ "dewknot/internal/base/propertytest"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// wordDecoder decodes servers' entries that consist of one word.
type wordDecoder struct{ Decoder }

// Configuration implements Decoder. The word is the version.
func (wordDecoder) Configuration(content []byte) (*catalog.Configuration, error) {
	version, err := strconv.ParseUint(string(content), 10, 64)
	return &catalog.Configuration{Version: version}, err
}

// Server implements Decoder.
func (wordDecoder) Server(object objectstore.Object) (catalog.Server, error) {
	switch string(object.Content) {
	case "ready":
		return catalog.Server{ID: object.Name, Service: "bookings", Revision: object.Revision}, nil
	case "odd and draining":
		return catalog.Server{}, &objectstore.EntryError{Name: object.Name, Reason: "odd", NotReady: true}
	default:
		return catalog.Server{}, &objectstore.EntryError{Name: object.Name, Reason: "odd"}
	}
}

// newDirectoryNode returns a node that lists servers of a service, and its count of refused entries.
func newDirectoryNode(t *testing.T) (*directorySink, func() float64) {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "refused"}, []string{"kind"})
	n := New(Options{Name: "a0", DrainBound: time.Second, Kinds: Kinds{Servers: "servers", Configuration: "config", ConfigurationName: "main"}},
		Ports{Decoder: wordDecoder{}, EntriesRefused: refused}, stubDelegate{}, catalog.New(time.Minute), time.Now(),
		eventlog.New(io.Discard, eventlog.Config{Node: "a0", LinesPerSecond: 100}))
	registry := prometheus.NewRegistry()
	registry.MustRegister(refused)
	return &directorySink{n}, func() float64 {
		families, err := registry.Gather()
		must.NoError(t, err)
		must.Len(t, 1, families)
		return families[0].GetMetric()[0].GetCounter().GetValue()
	}
}

func entryOf(name, content string, revision uint64) objectstore.Object {
	return objectstore.Object{Name: name, Content: []byte(content), Revision: era.Revision(revision)}
}

// TestOddEntryTakesNoServerAway: a known server must be used on while an entry that can't be read
// stands in place of its own, unless the entry says that the server takes no new work.
func TestOddEntryTakesNoServerAway(t *testing.T) {
	sink, refused := newDirectoryNode(t)
	used := func(name string) bool {
		server := sink.Catalog.Current().Servers[name]
		return server != nil && !server.Leaving()
	}
	sink.Reset([]objectstore.Object{entryOf("s1", "ready", 1), entryOf("s2", "ready", 2), entryOf("new", "odd", 3)}, 3)
	must.True(t, used("s1") && used("s2"))
	must.MapNotContainsKey(t, sink.Catalog.Current().Servers, "new")
	must.Eq(t, 1, refused())

	odd := entryOf("s1", "odd", 4)
	sink.Apply([]objectstore.Object{odd}, 4)
	must.True(t, used("s1") && used("s2"))
	must.Eq(t, 2, refused())
	sink.Reset([]objectstore.Object{odd, entryOf("s2", "ready", 2)}, 5)
	must.True(t, used("s1") && used("s2"))
	must.Eq(t, 2, refused())

	sink.Apply([]objectstore.Object{{Name: "s1", Revision: 6, Deleted: true}}, 6)
	must.False(t, used("s1"))
	sink.Apply([]objectstore.Object{entryOf("s1", "odd", 7)}, 7)
	must.False(t, used("s1"))
	sink.Catalog.ReinstateServers(sink.decodeAll([]objectstore.Object{entryOf("s1", "odd", 6)}), time.Now())
	must.False(t, used("s1"))
	must.MapContainsKey(t, sink.Catalog.Current().Servers, "s1")
	sink.Apply([]objectstore.Object{entryOf("s1", "ready", 8)}, 8)
	must.True(t, used("s1"))

	sink.Apply([]objectstore.Object{entryOf("s1", "odd and draining", 9)}, 9)
	must.False(t, used("s1"))
	sink.Reset([]objectstore.Object{entryOf("s1", "ready", 10), entryOf("s2", "odd and draining", 11)}, 11)
	must.True(t, used("s1"))
	must.False(t, used("s2"))
}

// TestLargeOddEntryIsNotSentToNodes guards against an entry of 1 MB that every node fetches from
// others, in pieces, before it learns of any change of servers.
func TestLargeOddEntryIsNotSentToNodes(t *testing.T) {
	sink, refused := newDirectoryNode(t)
	cache := sink.caches["servers"]
	large := strings.Repeat("odd", 1<<18)
	cache.Reset([]objectstore.Object{entryOf("s1", "ready", 1), entryOf("large", large, 2)}, 2)
	answer := sink.Answer(t.Context(), relay.Request{Kind: "servers", AcceptPieces: true})
	must.SliceEmpty(t, answer.Large)
	must.Eq(t, []objectstore.Object{{Name: "large", Revision: 2}, entryOf("s1", "ready", 1)}, answer.Objects)
	cache.Apply([]objectstore.Object{entryOf("large", large+"er", 3), entryOf("s2", "ready", 4)}, 4)
	answer = sink.Answer(t.Context(), relay.Request{Kind: "servers", Changes: true, After: 2, AcceptPieces: true, AcceptPatches: true})
	must.SliceEmpty(t, answer.Large)
	must.SliceEmpty(t, answer.Patched)
	must.Eq(t, []objectstore.Object{{Name: "large", Revision: 3}, entryOf("s2", "ready", 4)}, answer.Objects)
	must.Eq(t, 2, refused())
	must.MapLen(t, 2, sink.Catalog.Current().Servers)
}

// TestOddObjectReplacesNoConfiguration: an object beside the configuration must not be taken for it,
// or later versions of the configuration would be ignored.
func TestOddObjectReplacesNoConfiguration(t *testing.T) {
	directory, _ := newDirectoryNode(t)
	sink := &configurationSink{directory.Network}
	version := func() uint64 { return sink.Catalog.Current().Configuration.Version }
	highest := strconv.FormatUint(math.MaxUint64, 10)
	sink.Reset([]objectstore.Object{entryOf("copy", highest, 2), entryOf("main", "7", 1), entryOf("", highest, 3)}, 3)
	must.Eq(t, 7, version())
	sink.Apply([]objectstore.Object{entryOf("copy", highest, 4), entryOf("main", "odd", 5)}, 5)
	must.Eq(t, 7, version())
	sink.Apply([]objectstore.Object{entryOf("main", "8", 6)}, 6)
	must.Eq(t, 8, version())
}

// TestOddReadersObjectEndsNoProcess: no content of the object that lists the readers may make the
// pause before a listing at the store panic, or last for good.
func TestOddReadersObjectEndsNoProcess(t *testing.T) {
	for _, nodes := range []string{"-1", "-9223372036854775808", "65537", "1844674407", "9223372036854775807", "1e999", "1.5", `"64"`, "{}"} {
		_, err := decodeReaders([]byte(`{"nodes":` + nodes + `,"readers":[]}`))
		var entryErr *objectstore.EntryError
		must.True(t, errors.As(err, &entryErr), must.Sprint(nodes))
	}
	for _, readers := range []string{`[{}]`, `[null]`, `[{"name":"n1"}]`, `[{"address":"10.0.0.1:80"}]`, `7`} {
		_, err := decodeReaders([]byte(`{"nodes":64,"readers":` + readers + `}`))
		must.ErrorContains(t, err, "its writer must correct or remove it", must.Sprint(readers))
	}
	rapid.Check(t, func(t *rapid.T) {
		content := fmt.Sprintf(`{"nodes":%d,"readers":[{"name":"n1","address":"10.0.0.1:80"}]}`, rapid.OneOf(rapid.Int(), rapid.IntRange(0, 1<<16)).Draw(t, "nodes"))
		decoded, err := decodeReaders([]byte(content))
		if err != nil {
			return
		}
		n := newTestNetwork([]string{"a1"}, nil)
		n.received.nodes = decoded.Nodes
		pause := time.Duration(n.fleetSize()) * storeListInterval
		must.Between(t, 1, pause, 6*time.Minute)
	})
}
