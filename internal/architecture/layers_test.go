// Package architecture tests which packages import which others, and the size of packages.
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

// layer is a folder of packages. They may import each other and packages of the layers named in
// mayImport.
type layer struct {
	name      string
	mayImport []string
}

// layers are described in docs/DESIGN.md.
var layers = []layer{
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

// imports maps each package to the packages of this module that it imports, without tests.
type imports map[string][]string

// maxFiles is the maximum number of source files of a package, without tests. A larger package
// should be split.
const maxFiles = 15

// nodeLayers are the main packages of a node. Each may import only those before it: the view of
// other nodes, services with their servers, callers' sessions.
var nodeLayers = []string{"internal/proxy/network", "internal/proxy/backends", "internal/proxy"}

// readImports returns the imports of all packages of the module.
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
			if pkg, inModule := strings.CutPrefix(target, module+"/"); inModule {
				found[importer] = append(found[importer], pkg)
			}
		}
		return nil
	})
	must.NoError(t, err)
	return found
}

// layerOf returns the layer of a package, nil if it belongs to none.
func layerOf(name string) *layer {
	for i := range layers {
		if name == layers[i].name || strings.HasPrefix(name, layers[i].name+"/") {
			return &layers[i]
		}
	}
	return nil
}

// violations returns the packages without a layer and the imports that layers do not allow.
func violations(found imports) []string {
	var violating []string
	for _, importer := range slices.Sorted(maps.Keys(found)) {
		from := layerOf(importer)
		if from == nil {
			violating = append(violating, importer+" belongs to no layer")
			continue
		}
		for _, imported := range found[importer] {
			to := layerOf(imported)
			if to == nil || (to != from && !slices.Contains(from.mayImport, to.name)) {
				violating = append(violating, importer+" imports "+imported)
			}
		}
	}
	return violating
}

// reachable returns the packages that a package imports directly or indirectly, and itself.
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

// TestLayersImportDownwards guards against imports that a layer does not allow, and against
// dewknot-proxy linking packages for PostgreSQL or experiments.
func TestLayersImportDownwards(t *testing.T) {
	found := readImports(t)
	must.Greater(t, 50, len(found))
	must.SliceEmpty(t, violations(found))
	for name := range reachable(found, "cmd/dewknot-proxy") {
		must.False(t, strings.HasPrefix(name, "internal/postgres/") || strings.HasPrefix(name, "internal/lab/"), must.Sprint(name))
	}
}

// TestForbiddenImportsAreDetected checks that each added import that is not allowed is found.
func TestForbiddenImportsAreDetected(t *testing.T) {
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
		must.SliceNotEmpty(t, violations(found), must.Sprint(path.Join(wrong.importer, "->", wrong.imported)))
	}
}

// nodeLayerViolations returns the imports of a node layer by one before it.
func nodeLayerViolations(found imports) []string {
	var violating []string
	for i, importer := range nodeLayers {
		for _, later := range nodeLayers[i+1:] {
			if slices.Contains(found[importer], later) {
				violating = append(violating, importer+" imports "+later)
			}
		}
	}
	return violating
}

// TestNodeLayersImportDownwards guards against imports of a node layer by one before it, and
// checks that an added import of this kind is found.
func TestNodeLayersImportDownwards(t *testing.T) {
	found := readImports(t)
	must.SliceEmpty(t, nodeLayerViolations(found))
	for i, importer := range nodeLayers[:len(nodeLayers)-1] {
		must.MapContainsKey(t, found, importer)
		wrong := maps.Clone(found)
		wrong[importer] = append(slices.Clone(found[importer]), nodeLayers[i+1])
		must.SliceNotEmpty(t, nodeLayerViolations(wrong), must.Sprint(importer))
	}
}

// countFiles returns the number of source files of each package, without tests.
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

// tooLarge returns the packages with more than maxFiles files.
func tooLarge(count map[string]int) []string {
	var found []string
	for name, files := range count {
		if files > maxFiles {
			found = append(found, name)
		}
	}
	return found
}

// TestPackagesAreSmall guards against packages with too many files, and checks that one with a
// file more than allowed is found.
func TestPackagesAreSmall(t *testing.T) {
	count := countFiles(t)
	must.Greater(t, 50, len(count))
	must.SliceEmpty(t, tooLarge(count))
	count["internal/other"] = maxFiles + 1
	must.Eq(t, []string{"internal/other"}, tooLarge(count))
}
