package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"gypsumward/standin/fault"
)

const (
	callTimeout = 2 * time.Second       // bound of one call
	retryPause  = 50 * time.Millisecond // time between two calls of get -wait
)

// getCommand sets up the subcommand get, which prints the responses of processes
// to a GET. With -wait it repeats each call until the status is 200.
func getCommand(flags *flag.FlagSet) func(context.Context) error {
	addrs := flags.String("addr", "", "`addresses`, separated by commas")
	path := flags.String("path", "/health", "path to get")
	wait := flags.Duration("wait", 0, "longest time to wait until each answers with status 200")
	return func(ctx context.Context) error {
		until := time.Now().Add(*wait)
		for _, addr := range strings.Split(*addrs, ",") {
			body, err := call(ctx, http.MethodGet, addr+*path, nil)
			for err != nil && time.Now().Before(until) {
				time.Sleep(retryPause)
				body, err = call(ctx, http.MethodGet, addr+*path, nil)
			}
			if err != nil {
				return errors.Trace(err)
			}
			if _, err := fmt.Fprintf(os.Stdout, "%s %s\n", addr, bytes.TrimSpace(body)); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
}

// faultCommand sets up the subcommand fault, which switches a fault of stand-ins
// on or off.
func faultCommand(flags *flag.FlagSet) func(context.Context) error {
	var f fault.Fault
	addrs := flags.String("addr", "", "`addresses` of stand-ins, separated by commas")
	flags.StringVar((*string)(&f.Name), "name", "", "fault: down, slow, lost, hang, freeze, truncate, mixup, leaving, failing or failkind")
	off := flags.Bool("off", false, "switch it off")
	flags.StringVar(&f.Value, "value", "", "time of slow, kind of failkind, number of calls of down, lost or truncate")
	flags.StringVar(&f.Path, "path", "", "only calls of this path")
	return func(ctx context.Context) error {
		f.On = !*off
		body, err := json.Marshal(f)
		if err != nil {
			return errors.Trace(err)
		}
		for _, addr := range strings.Split(*addrs, ",") {
			if _, err := call(ctx, http.MethodPost, addr+"/fault", body); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
}

// call makes one HTTP call and returns the body of the response. The url has no
// scheme. A status other than 200 is an error.
func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("%s: status %d: %s", url, resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, errors.Trace(err)
}
