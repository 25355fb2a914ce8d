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

// nonDecidingFiles are the files of the package, beside the policy files, that hold no decision: the interface, the
// state, snapshots, inspection, the export of run times and the check of the settings.
var nonDecidingFiles = []string{"inspect.go", "instance.go", "interface.go", "noactions.go", "reason.go", "request.go",
	"runtimeexport.go", "snapshot.go", "snapshotcoder.go", "validate.go"}

// policyFiles are the files that the deploy file names as the decision module.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	var files []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, filepath.Join("..", string(name[1])))
	}
	return files
}

// TestPolicyFilesAreReadable checks that the head of each policy file names the interface file, and that lines are
// short enough for two files side by side.
func TestPolicyFilesAreReadable(t *testing.T) {
	const mostWidth = 110
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		head, _, _ := strings.Cut(string(text), "\npackage ")
		if !strings.Contains(head, "interface.go") {
			t.Errorf("%s: the head does not name the interface file", name)
		}
		for _, line := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > mostWidth {
				t.Errorf("%s: %d characters: %s", name, n, line)
			}
		}
	}
}

// TestDecisionsStandInPolicyFiles checks that each file of the package is either a policy file or in
// nonDecidingFiles, and that the latter call no method of Actions. The policy files of the deploy file then contain
// every decision.
func TestDecisionsStandInPolicyFiles(t *testing.T) {
	var policy []string
	for _, name := range policyFiles(t) {
		if dir := filepath.Dir(name); dir != "../admission" {
			t.Errorf("%s is no file of this package", name)
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
			t.Errorf("%s: policy file %v, file without decisions %v: want one of them",
				name, slices.Contains(policy, name), slices.Contains(nonDecidingFiles, name))
		}
	}
	for _, name := range slices.Concat(policy, nonDecidingFiles) {
		if !slices.Contains(sources, name) {
			t.Errorf("%s is listed and does not exist", name)
		}
	}
	for _, name := range nonDecidingFiles {
		for _, call := range actionCalls(t, name) {
			t.Errorf("%s: an action in a file that decides nothing", call)
		}
	}
}

// actionCalls returns the positions of the calls of Actions' methods in a file.
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
		// Also where a method is only taken as a value: it may be called elsewhere.
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
		t.Errorf("%d calls of %d actions: the check sees too little", found, want)
	}
}
