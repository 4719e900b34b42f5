package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// EntryURL returns the base URL of an entry, counted from 0.
func (f *Fleet) EntryURL(i int) string { return "http://" + address(f.ip(entryGroup, i), httpPort) }

// StandinURL returns the base URL of a stand-in by name, bypassing its relay.
func (f *Fleet) StandinURL(name string) (string, error) {
	node, err := f.node(name)
	if err != nil {
		return "", err
	}
	return "http://" + node.listen, nil
}

// StatusURL returns the base URL of /readyz and /metrics of a process by name.
func (f *Fleet) StatusURL(name string) (string, error) {
	node, err := f.node(name)
	if err != nil {
		return "", err
	}
	flagIndex := slices.Index(node.args, "--status")
	if flagIndex < 0 {
		return "", &UnknownProcessError{name}
	}
	return "http://" + node.args[flagIndex+1], nil
}

// CommandResult is the output and the exit code of an operator's command.
type CommandResult struct {
	Stdout   string
	Stderr   string
	ExitCode int
}

// Operate runs the operators' command line against the fleet's control members.
func (f *Fleet) Operate(ctx context.Context, operator string, args ...string) (CommandResult, error) {
	full := []string{"--operator", operator, "--token-file", f.TokenFile()}
	for _, address := range f.ControlAddresses() {
		full = append(full, "--control", address)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.binaries, "wasabishunt"), append(full, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	result := CommandResult{Stdout: stdout.String(), Stderr: stderr.String(), ExitCode: cmd.ProcessState.ExitCode()}
	if _, exited := errors.AsType[*exec.ExitError](err); err != nil && !exited {
		return result, err
	}
	return result, nil
}

// StatusError reports an unexpected HTTP status of a stand-in.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return e.URL + " answered " + http.StatusText(e.Status) + ": " + e.Body
}

// standinTimeout limits a call to a stand-in's interface for checks and faults.
const standinTimeout = 5 * time.Second

// CallStandin sends a JSON body, or nothing if it is nil, to a stand-in and decodes its JSON answer.
func (f *Fleet) CallStandin(ctx context.Context, name, method, path string, body, answer any) error {
	base, err := f.StandinURL(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return err
		}
	}
	status, text, err := sendRequest(ctx, method, base+path, &content)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &StatusError{base + path, status, text}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal([]byte(text), answer)
}

// sendRequest sends one request and returns the status and the body of the response.
func sendRequest(ctx context.Context, method, url string, body io.Reader) (status int, text string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// statusTimeout limits a request to a status address.
const statusTimeout = time.Second

// Readyz returns the HTTP status and the body with which a process answers /readyz at a base URL.
func Readyz(ctx context.Context, base string) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return sendRequest(ctx, http.MethodGet, base+"/readyz", http.NoBody)
}

// Metrics returns the metrics of a process by their names with labels.
func (f *Fleet) Metrics(ctx context.Context, name string) (map[string]float64, error) {
	base, err := f.StatusURL(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, text, err := sendRequest(ctx, http.MethodGet, base+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &StatusError{base + "/metrics", status, text}
	}
	metrics := map[string]float64{}
	for line := range strings.Lines(text) {
		metric, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			metrics[metric] = number
		}
	}
	return metrics, nil
}

// pollInterval is the time between checks of a condition in another process.
const pollInterval = 50 * time.Millisecond

// Poll calls a check until it succeeds or the context ends; it then returns the last error.
func Poll(ctx context.Context, check func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-ticker.C:
		}
	}
}

// readyTimeout limits the wait for an entry.
const readyTimeout = 20 * time.Second

// AwaitReady waits until an entry, counted from 0, reports to the balancer that it is ready.
func (f *Fleet) AwaitReady(ctx context.Context, entry int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return Poll(ctx, func() error {
		status, text, err := Readyz(ctx, f.EntryURL(entry))
		if err == nil && status != http.StatusOK {
			err = &StatusError{f.EntryURL(entry) + "/readyz", status, text}
		}
		return err
	})
}

// exitUnknown is the exit code of an operators' command whose outcome is unknown; a resend is safe.
const exitUnknown = 3

// OperateUntilDone repeats a command while its outcome is unknown. A publish is resent with the same operation id.
func (f *Fleet) OperateUntilDone(ctx context.Context, timeout time.Duration, operator string, args ...string) (CommandResult, error) {
	if args[0] == "publish" {
		args = append(args, "--operation-id", uuid.NewString())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result CommandResult
	err := Poll(ctx, func() error {
		var err error
		result, err = f.Operate(ctx, operator, args...)
		if err == nil && result.ExitCode == exitUnknown {
			return &UnknownOutcomeError{args, result}
		}
		return err
	})
	return result, err
}

// UnknownOutcomeError reports a command whose outcome is unknown.
type UnknownOutcomeError struct {
	Args   []string
	Result CommandResult
}

func (e *UnknownOutcomeError) Error() string {
	return strings.Join(e.Args, " ") + ": outcome unknown: " + e.Result.Stderr
}
