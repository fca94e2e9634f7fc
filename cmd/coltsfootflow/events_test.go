package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/explainer"
)

// sidecarPackages are the folders of the packages that only the sidecar runs.
var sidecarPackages = []string{
	"internal/connection/transporter", "internal/connection/pipeliner", "internal/process/supervisor", "internal/process/follower", "internal/process/disseminator", "internal/process/recoverer",
	"internal/process/logger", "internal/request/dispatcher", "internal/request/executor", "platform",
}

// commonFields are the fields that the page explains outside the table.
var commonFields = []string{"request", "server"}

// TestEventsPage compares the table on the page for on-call engineers with the
// table in the code.
func TestEventsPage(t *testing.T) {
	is := is.New(t)
	path := filepath.Join("..", "..", "docs", "OPERATIONS.md")
	content, err := os.ReadFile(path)
	is.NoErr(err)
	before, rest, found := strings.Cut(string(content), "| message | says |")
	is.True(found)
	_, after, found := strings.Cut(rest, "\n\n")
	is.True(found)
	want := before + explainer.EventTable() + "\n" + after
	if *update {
		is.NoErr(os.WriteFile(path, []byte(want), 0o644))
	}
	written, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(written), want) // run: go test ./cmd/coltsfootflow -run Page -update
}

// TestEventsAreInTheTable parses the sources of the sidecar: every message that they
// log must be in the table with all its fields, and the table must list no other.
func TestEventsAreInTheTable(t *testing.T) {
	logCalls := map[string][]string{}
	for _, folder := range sidecarPackages {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		is.New(t).NoErr(err)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			is.New(t).NoErr(err)
			ast.Inspect(file, func(node ast.Node) bool {
				if call, ok := node.(*ast.CallExpr); ok {
					addLogCall(logCalls, call)
				}
				return true
			})
		}
	}
	is.New(t).True(len(logCalls) > 20)
	known := map[string][]string{}
	for _, event := range explainer.Events {
		known[event.Message] = append(slices.Clone(event.Fields), commonFields...)
	}
	for message, fields := range logCalls {
		if _, ok := known[message]; !ok {
			t.Errorf("the message %q is not in the table", message)
		}
		for _, field := range fields {
			if !slices.Contains(known[message], field) {
				t.Errorf("the field %q of the message %q is not in the table", field, message)
			}
		}
	}
	for message := range known {
		if _, ok := logCalls[message]; !ok && !slices.Contains(indirectMessages, message) {
			t.Errorf("the message %q of the table is never logged", message)
		}
	}
}

// indirectMessages are messages that no logr call writes.
var indirectMessages = []string{"log lines left out"}

// addLogCall records the message and the fields of a call of Info or Error, as far as
// they are string literals.
func addLogCall(logCalls map[string][]string, call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if name, ok := method.X.(*ast.Ident); ok && name.Name == "http" {
		return // http.Error writes a response
	}
	messageIndex := map[string]int{"Info": 0, "Error": 1}
	index, ok := messageIndex[method.Sel.Name]
	if !ok || len(call.Args) <= index {
		return
	}
	message, ok := stringLiteral(call.Args[index])
	if !ok {
		return
	}
	logCalls[message] = append(logCalls[message], []string{}...)
	for i := index + 1; i < len(call.Args); i += 2 {
		if field, ok := stringLiteral(call.Args[i]); ok {
			logCalls[message] = append(logCalls[message], field)
		}
	}
}

func stringLiteral(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}
