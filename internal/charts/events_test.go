package charts_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/charts"
)

// Guards against an event that is renamed in a chart but not in every call that fires
// it: chart.Lifecycle.Fire panics on an event that its chart does not declare, and a
// call that no test reaches hides this. An event that is not a string literal in the
// call is not checked.
func TestFiredEventsAreDeclared(t *testing.T) {
	packages := make(map[string][]ast.Decl)
	positions := token.NewFileSet()
	must.NoError(t, filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(positions, path, nil, parser.SkipObjectResolution)
		if err == nil {
			packages[filepath.Dir(path)] = append(packages[filepath.Dir(path)], file.Decls...)
		}
		return err
	}))
	checked := 0
	for _, declarations := range packages {
		declared, fired := eventsOf(declarations)
		if len(declared) == 0 {
			continue
		}
		for _, literal := range fired {
			event, err := strconv.Unquote(literal.Value)
			must.NoError(t, err)
			if !slices.Contains(declared, event) {
				t.Errorf("%s: no chart that the package binds declares the event %q", positions.Position(literal.Pos()), event)
			}
		}
		checked += len(fired)
	}
	t.Logf("%d events checked", checked)
	must.Positive(t, checked)
}

// eventsOf returns the events of the charts that a package binds, and the literals that
// it passes as an event: to Fire, or to a function that passes the parameter on as one.
func eventsOf(declarations []ast.Decl) (declared []string, fired []*ast.BasicLit) {
	type parameter struct {
		function string
		index    int
	}
	events := map[parameter]bool{{"Fire", 1}: true}
	for known := 0; known < len(events); {
		known, declared, fired = len(events), nil, nil
		for _, declaration := range declarations {
			caller, _ := declaration.(*ast.FuncDecl)
			ast.Inspect(declaration, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				called := types.ExprString(call.Fun)
				if called == "charts.Must" {
					name := strings.Trim(types.ExprString(call.Args[0]), `"`)
					declared = append(declared, charts.Must(name).Events()...)
				}
				for i, argument := range call.Args {
					if !events[parameter{called[strings.LastIndex(called, ".")+1:], i}] {
						continue
					}
					switch argument := argument.(type) {
					case *ast.BasicLit:
						fired = append(fired, argument)
					case *ast.Ident:
						if p := slices.Index(parameterNames(caller), argument.Name); p >= 0 {
							events[parameter{caller.Name.Name, p}] = true
						}
					}
				}
				return true
			})
		}
	}
	return declared, fired
}

func parameterNames(f *ast.FuncDecl) (names []string) {
	if f == nil {
		return nil
	}
	for _, field := range f.Type.Params.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}
