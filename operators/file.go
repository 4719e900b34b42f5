package operators

import (
	"bytes"
	"context"
	"io"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// checkInterval is the time between reads of the file. Reading a file of some kB once a second uses far less than
	// 0.1% of a core, and comparing contents also detects changes that keep size and modification time.
	checkInterval = time.Second
	// maxFileBytes limits the file: 1 MiB holds thousands of operators.
	maxFileBytes = 1 << 20
)

// File is the operators file of a List.
type File struct {
	path string
	list *List
	log  *zap.Logger
	// content is the content read last. loggedError is the error logged last, empty after a successful check.
	content     []byte
	loggedError string
}

// NewFile returns the operators file of a list. Follow reads it.
func NewFile(path string, list *List, log *zap.Logger) *File {
	return &File{path: path, list: list, log: log}
}

// Follow updates the list when the file changes, until the context ends.
func (f *File) Follow(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.check()
		}
	}
}

// check reads the file. If it cannot be read or is invalid, the list stays unchanged and the error is logged once.
func (f *File) check() {
	err := f.reload()
	if err == nil {
		f.loggedError = ""
		return
	}
	if message := err.Error(); message != f.loggedError {
		f.loggedError = message
		f.log.Error("operators file not taken", zap.String("file", f.path), zap.Error(err))
	}
}

func (f *File) reload() error {
	content, err := f.read()
	if err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "read the operators file")
	}
	if f.content != nil && f.loggedError == "" && bytes.Equal(content, f.content) {
		return nil
	}
	f.content = content
	hashes, problems := parse(bytes.NewReader(content))
	// While a file is rewritten it may be empty. Applying that would lock out all operators.
	if len(hashes) == 0 && len(problems) == 0 {
		problems = []failure.Problem{{Path: "file", Message: "names no operator"}}
	}
	if len(problems) > 0 {
		e := failure.New(failure.InvalidRequest, failure.NotRun, "the operators file is not valid: %s: %s", problems[0].Path, problems[0].Message)
		e.Problems = problems
		return e
	}
	if f.list.replace(hashes) {
		f.log.Info("operators file taken", zap.String("file", f.path), zap.Int("operators", len(hashes)))
	}
	return nil
}

func (f *File) read() ([]byte, error) {
	file, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(content) > maxFileBytes {
		err = failure.New(failure.BodyTooLarge, failure.NotRun, "the file has more than %d bytes", maxFileBytes)
	}
	return content, err
}
