package cli

import (
	"fmt"

	"github.com/wasabishunt/wasabishunt/control/configcheck"
)

// checkReport is the outcome of a check, for --json.
type checkReport struct {
	Findings []configcheck.Finding `json:"findings"`
}

// check reports the findings of a configuration. A file that cannot be read is wrong usage, as nothing was checked.
func (p *program) check(command *checkCommand) int {
	document, err := readFile(command.File)
	var against []byte
	if err == nil && command.Against != "" {
		// Reading a file returns no nil slice, so an empty file is compared too.
		against, err = readFile(command.Against)
	}
	if err != nil {
		_, _ = fmt.Fprintln(p.stderr, "error:", err)
		return ExitUsage
	}
	list := configcheck.Check(document, against, p.decodeTraffic)
	switch {
	case command.JSON || p.args.Output == "json":
		p.json(checkReport{Findings: list})
	case len(list) == 0:
		_, _ = fmt.Fprintln(p.stdout, "no findings")
	default:
		for _, f := range list {
			_, _ = fmt.Fprintf(p.stdout, "%s: %s: %s\n", f.Path, f.Kind, f.Message)
		}
	}
	if len(list) > 0 {
		return ExitRefused
	}
	return ExitOK
}
