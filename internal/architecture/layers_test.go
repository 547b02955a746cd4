// Package architecture checks which packages import which. It has no code of its own.
package architecture

import (
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	module = "dewknot"
	root   = "../.."
)

// floor is a group of packages; each may import those of the floors named.
type floor struct {
	name string
	may  []string
}

// floors are described in docs/DESIGN.md.
var floors = []floor{
	{"internal/base", nil},
	{"internal/proxy", []string{"internal/base"}},
	{"internal/postgres", []string{"internal/base"}},
	{"platform", []string{"internal/base", "internal/proxy"}},
	{"internal/lab", []string{"internal/base", "internal/proxy", "internal/postgres", "examples"}},
	{"internal/daemon", []string{"internal/base", "internal/proxy", "platform"}},
	{"internal/cli", []string{"internal/base", "internal/proxy", "internal/postgres", "internal/lab", "examples"}},
	{"cmd/dewknot-proxy", []string{"internal/daemon"}},
	{"cmd/dewknot", []string{"internal/base", "internal/cli"}},
	{"examples", nil},
	{"internal/architecture", nil},
}

// imports are the project's own imports of each package, tests aside.
type imports map[string][]string

// mostFiles bounds the files of code in a package: with more, it has more than one matter.
const mostFiles = 15

// innerLayers are the packages of the node's way, each of which imports only those before
// it: what is known of others, services and their servers, callers' sessions.
var innerLayers = []string{"internal/proxy/network", "internal/proxy/backends", "internal/proxy"}

func readImports(t *testing.T) imports {
	t.Helper()
	found := imports{}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "target" {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, filepath.Dir(name))
		if err != nil {
			return err
		}
		importer := filepath.ToSlash(relative)
		found[importer] = append(found[importer], []string{}...)
		for _, imported := range file.Imports {
			target, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				return err
			}
			if own, ours := strings.CutPrefix(target, module+"/"); ours {
				found[importer] = append(found[importer], own)
			}
		}
		return nil
	})
	must.NoError(t, err)
	return found
}

func floorOf(name string) *floor {
	for i := range floors {
		if name == floors[i].name || strings.HasPrefix(name, floors[i].name+"/") {
			return &floors[i]
		}
	}
	return nil
}

// breaches returns what the imports break.
func breaches(found imports) []string {
	var broken []string
	for _, importer := range slices.Sorted(maps.Keys(found)) {
		from := floorOf(importer)
		if from == nil {
			broken = append(broken, importer+" stands on no floor")
			continue
		}
		for _, imported := range found[importer] {
			to := floorOf(imported)
			if to == nil || (to != from && !slices.Contains(from.may, to.name)) {
				broken = append(broken, importer+" imports "+imported)
			}
		}
	}
	return broken
}

// reachable returns all packages that a package links.
func reachable(found imports, from string) map[string]bool {
	seen := map[string]bool{}
	var visit func(string)
	visit = func(name string) {
		if seen[name] {
			return
		}
		seen[name] = true
		for _, imported := range found[name] {
			visit(imported)
		}
	}
	visit(from)
	return seen
}

// TestFloorsImportDownwards: no floor imports one that it may not, and the platform's
// node links nothing of the PostgreSQL edge or of the experiments.
func TestFloorsImportDownwards(t *testing.T) {
	found := readImports(t)
	must.Greater(t, 50, len(found))
	must.SliceEmpty(t, breaches(found))
	for name := range reachable(found, "cmd/dewknot-proxy") {
		must.False(t, strings.HasPrefix(name, "internal/postgres/") || strings.HasPrefix(name, "internal/lab/"), must.Sprint(name))
	}
}

// TestWrongImportsAreNoticed adds imports that are not allowed.
func TestWrongImportsAreNoticed(t *testing.T) {
	for _, wrong := range []struct{ importer, imported string }{
		{"internal/base/codec", "internal/proxy/relay"},
		{"internal/proxy/relay", "internal/postgres/peer"},
		{"internal/postgres/peer", "internal/lab/sim"},
		{"internal/proxy", "platform"},
		{"internal/lab/judge", "platform"},
		{"cmd/dewknot-proxy", "internal/cli"},
		{"internal/other", "internal/base/codec"},
	} {
		found := readImports(t)
		found[wrong.importer] = append(found[wrong.importer], wrong.imported)
		must.SliceNotEmpty(t, breaches(found), must.Sprint(path.Join(wrong.importer, "->", wrong.imported)))
	}
}

// layerBreaches returns the imports of an inner layer by one before it.
func layerBreaches(found imports) []string {
	var broken []string
	for i, layer := range innerLayers {
		for _, later := range innerLayers[i+1:] {
			if slices.Contains(found[layer], later) {
				broken = append(broken, layer+" imports "+later)
			}
		}
	}
	return broken
}

// TestInnerLayersImportDownwards, and an import upwards is noticed.
func TestInnerLayersImportDownwards(t *testing.T) {
	found := readImports(t)
	must.SliceEmpty(t, layerBreaches(found))
	for i, layer := range innerLayers[:len(innerLayers)-1] {
		must.MapContainsKey(t, found, layer)
		wrong := maps.Clone(found)
		wrong[layer] = append(slices.Clone(found[layer]), innerLayers[i+1])
		must.SliceNotEmpty(t, layerBreaches(wrong), must.Sprint(layer))
	}
}

// countFiles counts the files of code, tests aside, by package.
func countFiles(t *testing.T) map[string]int {
	t.Helper()
	count := map[string]int{}
	for _, top := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(name string, entry fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
				count[filepath.Dir(name)]++
			}
			return err
		})
		must.NoError(t, err)
	}
	return count
}

// large returns the packages that have too many files.
func large(count map[string]int) []string {
	var found []string
	for name, files := range count {
		if files > mostFiles {
			found = append(found, name)
		}
	}
	return found
}

// TestPackagesAreSmall, and one file more than allowed is noticed.
func TestPackagesAreSmall(t *testing.T) {
	count := countFiles(t)
	must.Greater(t, 50, len(count))
	must.SliceEmpty(t, large(count))
	count["internal/other"] = mostFiles + 1
	must.Eq(t, []string{"internal/other"}, large(count))
}
