// Package answer waits for the answers of jobs and requests and prints them.
package answer
