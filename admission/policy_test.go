package admission

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// nonDecidingFiles are the files of the package, besides the policy files, that make no decisions: the interface, the
// state, snapshots, inspection, the export of run times and the validation of the settings.
var nonDecidingFiles = []string{"inspect.go", "instance.go", "interface.go", "noactions.go", "reason.go", "request.go",
	"run_time_export.go", "snapshot.go", "snapshotcoder.go", "validate.go"}

// policyFiles returns the files that the deploy file lists as the decision module.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if list == nil {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	var files []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, filepath.Join("..", string(name[1])))
	}
	return files
}

// TestPolicyFilesAreReadable checks that the comment before the package clause of each policy file names the
// interface file, and that lines are short enough to view two files side by side.
func TestPolicyFilesAreReadable(t *testing.T) {
	const maxWidth = 110
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		head, _, _ := strings.Cut(string(text), "\npackage ")
		if !strings.Contains(head, "interface.go") {
			t.Errorf("%s: the comment before the package clause does not name interface.go", name)
		}
		for _, line := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxWidth {
				t.Errorf("%s: line of %d characters is too long: %s", name, n, line)
			}
		}
	}
}

// TestPolicyFilesContainEveryDecision checks that each file of the package is either a policy file or in
// nonDecidingFiles, and that the files in nonDecidingFiles call no method of Actions. The policy files of the deploy
// file then contain every decision.
func TestPolicyFilesContainEveryDecision(t *testing.T) {
	var policy []string
	for _, name := range policyFiles(t) {
		if dir := filepath.Dir(name); dir != "../admission" {
			t.Errorf("%s is not a file of this package", name)
		}
		policy = append(policy, filepath.Base(name))
	}
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	sources = slices.DeleteFunc(sources, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	for _, name := range sources {
		if slices.Contains(policy, name) == slices.Contains(nonDecidingFiles, name) {
			t.Errorf("%s: policy file %v, in nonDecidingFiles %v: want exactly one of them",
				name, slices.Contains(policy, name), slices.Contains(nonDecidingFiles, name))
		}
	}
	for _, name := range slices.Concat(policy, nonDecidingFiles) {
		if !slices.Contains(sources, name) {
			t.Errorf("%s is listed but does not exist", name)
		}
	}
	for _, name := range nonDecidingFiles {
		for _, call := range actionCalls(t, name) {
			t.Errorf("%s: an action in a file that must make no decisions", call)
		}
	}
}

// actionCalls returns the positions of all uses of Actions' methods in a file.
func actionCalls(t *testing.T, name string) (calls []string) {
	t.Helper()
	actions := map[string]bool{}
	kind := reflect.TypeFor[Actions]()
	for i := range kind.NumMethod() {
		actions[kind.Method(i).Name] = true
	}
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		// A method that is only taken as a value counts too: it may be called elsewhere.
		if selector, ok := n.(*ast.SelectorExpr); ok && actions[selector.Sel.Name] {
			calls = append(calls, files.Position(selector.Pos()).String()+" "+selector.Sel.Name)
		}
		return true
	})
	return calls
}

// TestActionCallsAreFound checks that actionCalls finds the actions of the policy files.
func TestActionCallsAreFound(t *testing.T) {
	found := 0
	for _, name := range policyFiles(t) {
		found += len(actionCalls(t, filepath.Base(name)))
	}
	if want := reflect.TypeFor[Actions]().NumMethod(); found < want {
		t.Errorf("found %d calls of actions, want at least one for each of the %d actions", found, want)
	}
}
