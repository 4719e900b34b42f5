package store

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

const (
	pieceSuffix = ".piece"
	tempSuffix  = ".tmp"
)

// fileName includes the generation, so that a new generation never overwrites a file that is being read.
func fileName(name piece.Name, generation uint64) string {
	return name.String() + "." + strconv.FormatUint(generation, 10)
}

// disk reads and writes piece files.
type disk struct {
	fs FS
}

// write writes a piece durably under its final name. The piece may be published only if write returned nil.
func (d disk) write(h piece.Header, body []byte) error {
	base := fileName(h.Name, h.Generation)
	if err := d.writeTemp(base+tempSuffix, h, body); err != nil {
		_ = d.fs.Remove(base + tempSuffix)
		return err
	}
	if err := d.fs.Rename(base+tempSuffix, base+pieceSuffix); err != nil {
		_ = d.fs.Remove(base + tempSuffix)
		return diskError(err, "rename")
	}
	if err := d.fs.Sync(); err != nil {
		_ = d.fs.Remove(base + pieceSuffix)
		return syncError(err, "sync directory")
	}
	return nil
}

func (d disk) writeTemp(name string, h piece.Header, body []byte) error {
	header, err := piece.EncodeHeader(h)
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "encode header")
	}
	file, err := d.fs.Create(name)
	if err != nil {
		return diskError(err, "create")
	}
	err = writeAndSync(file, header, body)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = diskError(closeErr, "close")
	}
	return err
}

func writeAndSync(file File, header, body []byte) error {
	for _, part := range [][]byte{header, body} {
		if _, err := file.Write(part); err != nil {
			return diskError(err, "write")
		}
	}
	if err := file.Sync(); err != nil {
		return syncError(err, "sync")
	}
	return nil
}

// read loads a body into a block. It verifies every byte of the file against the header in the index.
func (d disk) read(want piece.Header, blocks *blockPool) (*block, error) {
	file, err := d.fs.Open(fileName(want.Name, want.Generation) + pieceSuffix)
	if err != nil {
		return nil, diskError(err, "open")
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReaderSize(file, piece.MaxHeaderBytes)
	h, err := readHeader(reader)
	if err != nil {
		return nil, err
	}
	if err := checkHeader(want, h); err != nil {
		return nil, err
	}
	b := blocks.get(h.Length)
	if err := readBody(reader, h, b.data); err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}

// checkHeader fails if the header of a file is not the one in the index.
func checkHeader(want, h piece.Header) error {
	if err := (piece.Want{Name: want.Name, Account: want.Account, Generation: want.Generation}).Check(h); err != nil {
		return err
	}
	if h != want {
		return &piece.FormatError{Reason: piece.Mismatch, Detail: "header differs from the index"}
	}
	return nil
}

func readHeader(r *bufio.Reader) (piece.Header, error) {
	prefix, err := r.Peek(piece.PrefixBytes)
	if err != nil {
		return piece.Header{}, readError(err)
	}
	length, err := piece.HeaderLength(prefix)
	if err != nil {
		return piece.Header{}, err
	}
	buffer := make([]byte, length)
	if _, err := io.ReadFull(r, buffer); err != nil {
		return piece.Header{}, readError(err)
	}
	h, _, err := piece.DecodeHeader(buffer)
	return h, err
}

func readBody(r *bufio.Reader, h piece.Header, body []byte) error {
	if _, err := io.ReadFull(r, body); err != nil {
		return readError(err)
	}
	if err := piece.CheckBody(h, body); err != nil {
		return err
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		return &piece.FormatError{Reason: piece.Trailing, Detail: "file has data after the body"}
	}
	return nil
}

// readError returns a Torn error at the end of a file, and a disk error otherwise.
func readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &piece.FormatError{Reason: piece.Torn, Detail: "unexpected end of file"}
	}
	return diskError(err, "read")
}

// pieceFile is a valid piece file found by a scan.
type pieceFile struct {
	header piece.Header
	info   FileInfo
}

// scan returns the newest generation of each piece and the highest generation of all. It removes temporary, damaged,
// misnamed and outdated files. Only headers and lengths are checked; bodies are checked on each read.
func (d disk) scan(maxBytes int64) ([]pieceFile, uint64, error) {
	files, err := d.fs.List()
	if err != nil {
		return nil, 0, diskError(err, "list")
	}
	newest := map[piece.Name]pieceFile{}
	generation := uint64(0)
	for _, info := range files {
		h, err := d.inspect(info, maxBytes)
		if err != nil {
			// Files that could not be opened and files without the suffix of pieces are kept.
			if _, ok := errors.AsType[*piece.FormatError](err); ok {
				_ = d.fs.Remove(info.Name)
			}
			continue
		}
		generation = max(generation, h.Generation)
		f := pieceFile{h, info}
		if other, ok := newest[h.Name]; ok {
			if other.header.Generation > h.Generation {
				f, other = other, f
			}
			_ = d.fs.Remove(other.info.Name)
		}
		newest[h.Name] = f
	}
	list := make([]pieceFile, 0, len(newest))
	for _, f := range newest {
		list = append(list, f)
	}
	return list, generation, nil
}

func (d disk) inspect(info FileInfo, maxBytes int64) (piece.Header, error) {
	switch {
	case strings.HasSuffix(info.Name, tempSuffix):
		return piece.Header{}, &piece.FormatError{Reason: piece.Torn, Detail: "temporary file"}
	case !strings.HasSuffix(info.Name, pieceSuffix):
		return piece.Header{}, failure.New(failure.InvalidRequest, failure.NotRun, "not a piece file")
	}
	file, err := d.fs.Open(info.Name)
	if err != nil {
		return piece.Header{}, diskError(err, "open")
	}
	defer func() { _ = file.Close() }()
	h, err := readHeader(bufio.NewReaderSize(file, piece.MaxHeaderBytes))
	if err != nil {
		return piece.Header{}, err
	}
	switch {
	case fileName(h.Name, h.Generation)+pieceSuffix != info.Name:
		return h, &piece.FormatError{Reason: piece.Mismatch, Detail: "file name differs from the header"}
	case h.Length > maxBytes:
		return h, &piece.FormatError{Reason: piece.Oversized, Detail: fmt.Sprintf("body of %d bytes", h.Length)}
	case info.Size != fileBytes(h):
		return h, &piece.FormatError{Reason: piece.Torn, Detail: fmt.Sprintf("file of %d bytes, want %d", info.Size, fileBytes(h))}
	}
	return h, nil
}

// fileBytes returns the length of a piece's file.
func fileBytes(h piece.Header) int64 {
	return int64(piece.MinHeaderBytes+len(h.Account)+len(h.WeightVersion)) + h.Length
}

func (d disk) remove(h piece.Header) error {
	if err := d.fs.Remove(fileName(h.Name, h.Generation) + pieceSuffix); err != nil {
		return diskError(err, "remove")
	}
	return nil
}

// diskFullError reports a write that failed for lack of space. Later writes may succeed.
type diskFullError struct{ cause error }

func (e *diskFullError) Error() string { return "disk full: " + e.cause.Error() }
func (e *diskFullError) Unwrap() error { return e.cause }

// syncFailedError reports a failed sync. A later successful sync does not prove that earlier writes are durable, so the
// disk tier accepts no further writes.
type syncFailedError struct{ cause error }

func (e *syncFailedError) Error() string { return "sync failed: " + e.cause.Error() }
func (e *syncFailedError) Unwrap() error { return e.cause }

func diskError(err error, step string) error {
	if diskfs.IsFull(err) {
		err = &diskFullError{err}
	}
	return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "%s piece file", step)
}

// syncError treats a full disk like any other failed sync, because the state of the written data is unknown either way.
func syncError(err error, step string) error {
	return failure.Wrap(&syncFailedError{err}, failure.StorageFailed, failure.NotRun, "%s piece file", step)
}
