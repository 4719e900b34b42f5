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
	"time"
)

// EntryURL returns the base URL of an entry, counted from 0.
func (f *Fleet) EntryURL(i int) string { return "http://" + address(f.ip(entryGroup, i), httpPort) }

// StandinURL returns the base URL of a stand-in by name, past its relay.
func (f *Fleet) StandinURL(name string) (string, error) {
	node, err := f.node(name)
	if err != nil {
		return "", err
	}
	return "http://" + node.listen, nil
}

// CommandResult is what an operator's command printed and how it ended.
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

// standinTimeout limits a call to a stand-in's checker or fault interface.
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
	request, err := http.NewRequestWithContext(ctx, method, base+path, &content)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return &StatusError{base + path, response.StatusCode, string(text)}
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}
