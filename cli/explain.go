package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// maxExplainBytes limits the response of one entry.
	maxExplainBytes = 4 << 20
	// explainTimeout limits the request to one entry.
	explainTimeout = 2 * time.Second
)

// explain queries the entries one after the other until one has a record of the request.
func (p *program) explain(ctx context.Context, command *explainCommand) int {
	entries := command.Entries
	if len(entries) == 0 {
		entries = p.entryAddresses(ctx)
	}
	if len(entries) == 0 {
		return p.finish(report{}, failure.New(failure.NotFound, failure.NotRun, "no entry is registered"), "", "")
	}
	client := &http.Client{Timeout: explainTimeout}
	defer client.CloseIdleConnections()
	var failures []failure.Problem
	for _, entry := range entries {
		records, err := p.fetchRecords(ctx, client, entry, command.RequestID)
		if err != nil {
			failures = append(failures, failure.Problem{Path: entry, Message: failure.Of(err).Message})
			continue
		}
		p.printDecisions(entry, records)
		return ExitOK
	}
	notFound := failure.New(failure.NotFound, failure.NotRun, "no entry explains request %s", command.RequestID)
	notFound.Problems = failures
	return p.finish(report{}, notFound, "", "")
}

// entryAddresses returns the addresses of the registered entries.
func (p *program) entryAddresses(ctx context.Context) []string {
	var addresses []string
	for _, m := range p.client.StatusAll(ctx, false) {
		for _, process := range m.Status.GetProcesses() {
			if process.Role == "entry" && process.Address != "" && !slices.Contains(addresses, process.Address) {
				addresses = append(addresses, process.Address)
			}
		}
	}
	slices.Sort(addresses)
	return addresses
}

// fetchRecords returns the JSON values that an entry has recorded for a request.
func (p *program) fetchRecords(ctx context.Context, client *http.Client, entry, id string) ([]map[string]any, error) {
	target := "http://" + entry + "/debug/requests/" + url.PathEscape(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "address %q", entry)
	}
	request.Header.Set("Authorization", "Bearer "+p.args.Token)
	response, err := client.Do(request)
	if err != nil {
		return nil, failure.New(failure.NotFound, failure.NotRun, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response.StatusCode)
	}
	return readRecords(io.LimitReader(response.Body, maxExplainBytes))
}

// statusError converts an entry's HTTP status to an error that names the likely cause.
func statusError(status int) error {
	switch status {
	case http.StatusUnauthorized:
		return failure.New(failure.Unauthorized, failure.NotRun, "status 401: the token is not in the entry's --operators-file")
	case http.StatusNotFound:
		return failure.New(failure.NotFound, failure.NotRun, "status 404: the request is not among the last ones of this entry")
	}
	return failure.New(failure.NotFound, failure.NotRun, "status %d", status)
}

func readRecords(body io.Reader) ([]map[string]any, error) {
	decoder := json.NewDecoder(body)
	var records []map[string]any
	for {
		var record map[string]any
		err := decoder.Decode(&record)
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "decode the entry's answer")
		}
		records = append(records, record)
	}
}

func (p *program) printDecisions(entry string, records []map[string]any) {
	if p.args.Output == "json" {
		p.json(map[string]any{"entry": entry, "records": records})
		return
	}
	_, _ = fmt.Fprintf(p.stdout, "entry %s\n", entry)
	for _, record := range records {
		p.printRecord(record)
	}
}

// printRecord prints the scalar fields sorted by name, then the decisions in order.
func (p *program) printRecord(record map[string]any) {
	names := make([]string, 0, len(record))
	for name := range record {
		names = append(names, name)
	}
	slices.Sort(names)
	var rows [][]string
	for _, name := range names {
		if _, list := record[name].([]any); !list && record[name] != nil {
			rows = append(rows, []string{name, fmt.Sprint(record[name])})
		}
	}
	p.table(rows)
	decisions, _ := record["decisions"].([]any)
	for i, decision := range decisions {
		_, _ = fmt.Fprintf(p.stdout, "%3d  %v\n", i+1, decision)
	}
}
