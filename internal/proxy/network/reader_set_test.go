package network

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestReadersOfAnyFleet: whatever the zones and their sizes, all nodes that know the same
// members name the same readers, each zone has one or two, a node asks those of its own zone
// first, and no fewer than it may ask if there are as many.
func TestReadersOfAnyFleet(t *testing.T) {
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
		reading := map[string]string{}
		asked := make([][]Member, len(fleet))
		for i, own := range fleet {
			others := append(append([]Member{}, fleet[:i]...), fleet[i+1:]...)
			n := &Network{options: Options{Name: own.Name, Zone: own.Zone, Regions: regions}}
			set := n.chooseReaders(&others)
			if set.reads {
				reading[own.Name] = own.Zone
			}
			asked[i] = set.others
		}
		perZone := map[string]int{}
		for _, zone := range reading {
			perZone[zone]++
		}
		for zone, size := range sizes {
			name := fmt.Sprintf("z%d", zone)
			must.Eq(t, readersOf(size, len(sizes)), perZone[name], must.Sprint(name, size))
		}
		for i, own := range fleet {
			for place, reader := range asked[i] {
				must.MapContainsKey(t, reading, reader.Name)
				if place == 0 && reading[own.Name] == "" {
					must.Eq(t, own.Zone, reader.Zone)
				}
			}
			must.GreaterEq(t, min(readersAsked, len(reading)-1), len(asked[i]))
		}
	})
}

// TestReadersHaveGoodLinks: of a zone with a few machines on good links, those read the store;
// only if there are fewer of them than readers do others.
func TestReadersHaveGoodLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, good := rapid.IntRange(1, 60).Draw(t, "nodes"), rapid.IntRange(0, 5).Draw(t, "good")
		count := rapid.IntRange(1, 2).Draw(t, "readers")
		zone := make([]Member, nodes)
		for i := range zone {
			zone[i] = Member{Name: fmt.Sprintf("n%d", i), Capacity: Capacity{LinkMbps: 20}}
			if i < good {
				zone[i].Capacity.LinkMbps = 1000
			}
		}
		chosen := rankReaders(zone, count)
		must.Len(t, min(count, nodes), chosen)
		strong := 0
		for _, name := range chosen {
			var number int
			_, err := fmt.Sscanf(name, "n%d", &number)
			must.NoError(t, err)
			if number < good {
				strong++
			}
		}
		must.Eq(t, min(good, count, nodes), strong)
	})
}
