// Package server provides the HTTP interface of an entry instance for callers and
// operators, on the HTTP transport of kratos. docs/API.md describes it to callers.
//
// Every refusal is an api.Refusal with a status other than 200. It states whether
// the work ran. The size of a body is bounded before it is read.
package server
