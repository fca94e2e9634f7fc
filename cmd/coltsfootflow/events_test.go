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

// sidecarFolders hold the packages that only the sidecar runs.
var sidecarFolders = []string{
	"internal/connection/transporter", "internal/connection/pipeliner", "internal/process/supervisor", "internal/process/follower",
	"internal/process/logger", "internal/request/dispatcher", "internal/request/executor", "platform",
}

// everywhere are the fields that the page explains apart from the table.
var everywhere = []string{"request", "server"}

// TestEventsPage keeps the table of the page for engineers on call true to the
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

// TestEventsAreInTheTable reads the sources of the sidecar: each line that they log
// stands in the table, with each of its fields.
func TestEventsAreInTheTable(t *testing.T) {
	logged := map[string][]string{}
	for _, folder := range sidecarFolders {
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
					addLine(logged, call)
				}
				return true
			})
		}
	}
	is.New(t).True(len(logged) > 20)
	known := map[string][]string{}
	for _, event := range explainer.Events {
		known[event.Message] = append(slices.Clone(event.Fields), everywhere...)
	}
	for message, fields := range logged {
		if _, ok := known[message]; !ok {
			t.Errorf("the line %q is not in the table", message)
		}
		for _, field := range fields {
			if !slices.Contains(known[message], field) {
				t.Errorf("the field %q of the line %q is not in the table", field, message)
			}
		}
	}
	for message := range known {
		if _, ok := logged[message]; !ok && !slices.Contains(madeElsewhere, message) {
			t.Errorf("the line %q of the table is written nowhere", message)
		}
	}
}

// madeElsewhere are lines that are not written by a logr call.
var madeElsewhere = []string{"log lines left out"}

// addLine notes a call of Info or Error with a literal message, and its literal
// fields.
func addLine(logged map[string][]string, call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if name, ok := method.X.(*ast.Ident); ok && name.Name == "http" {
		return // an answer
	}
	first := map[string]int{"Info": 0, "Error": 1}
	at, ok := first[method.Sel.Name]
	if !ok || len(call.Args) <= at {
		return
	}
	message, ok := literal(call.Args[at])
	if !ok {
		return
	}
	logged[message] = append(logged[message], []string{}...)
	for i := at + 1; i < len(call.Args); i += 2 {
		if field, ok := literal(call.Args[i]); ok {
			logged[message] = append(logged[message], field)
		}
	}
}

func literal(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}
