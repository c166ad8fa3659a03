// Package object provides the stand-in for the platform's object store.
package object
