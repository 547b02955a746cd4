package network

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestReaderSelectionInvariants guards against nodes that disagree on the readers, zones with a
// wrong number of readers, and nodes that ask too few readers or those of another zone first.
func TestReaderSelectionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 9).Draw(t, "sizes")
		var fleet []Member
		regions := map[string]string{}
		for zone, size := range sizes {
			name := fmt.Sprintf("z%d", zone)
			regions[name] = fmt.Sprintf("r%d", zone/2)
			for i := range size {
				fleet = append(fleet, Member{Name: fmt.Sprintf("%s-%d", name, i), Zone: name})
			}
		}
		readerZones := map[string]string{}
		order := make([][]Member, len(fleet))
		for i, own := range fleet {
			others := append(append([]Member{}, fleet[:i]...), fleet[i+1:]...)
			n := &Network{options: Options{Name: own.Name, Zone: own.Zone, Regions: regions}}
			set := n.chooseReaders(&others)
			if set.isReader {
				readerZones[own.Name] = own.Zone
			}
			order[i] = set.others
		}
		perZone := map[string]int{}
		for _, zone := range readerZones {
			perZone[zone]++
		}
		for zone, size := range sizes {
			name := fmt.Sprintf("z%d", zone)
			must.Eq(t, readerCount(size, len(sizes)), perZone[name], must.Sprint(name, size))
		}
		for i, own := range fleet {
			for rank, reader := range order[i] {
				must.MapContainsKey(t, readerZones, reader.Name)
				if rank == 0 && readerZones[own.Name] == "" {
					must.Eq(t, own.Zone, reader.Zone)
				}
			}
			must.GreaterEq(t, min(maxWatchReaders, len(readerZones)-1), len(order[i]))
		}
	})
}

// TestReadersPreferFastLinks guards against readers on slow links in a zone with enough fast ones.
func TestReadersPreferFastLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, fast := rapid.IntRange(1, 60).Draw(t, "nodes"), rapid.IntRange(0, 5).Draw(t, "good")
		count := rapid.IntRange(1, 2).Draw(t, "readers")
		zone := make([]Member, nodes)
		for i := range zone {
			zone[i] = Member{Name: fmt.Sprintf("n%d", i), Capacity: Capacity{LinkMbps: 20}}
			if i < fast {
				zone[i].Capacity.LinkMbps = 1000
			}
		}
		chosen := rankReaders(zone, count)
		must.Len(t, min(count, nodes), chosen)
		fastChosen := 0
		for _, name := range chosen {
			var number int
			_, err := fmt.Sscanf(name, "n%d", &number)
			must.NoError(t, err)
			if number < fast {
				fastChosen++
			}
		}
		must.Eq(t, min(fast, count, nodes), fastChosen)
	})
}
