// Package tools pins the linters that CI runs; see the tool lines of go.mod.
package tools
