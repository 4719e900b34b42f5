// Package docscheck holds tests that compare the operators' pages with the source: each metric and each log event
// of the programs must be described.
package docscheck
