package launch

import (
	"syscall"
	"unsafe"
)

// NoFileLimit removes a limit set by LimitFiles.
const NoFileLimit = ^uint64(0)

// rlimitFileSize is RLIMIT_FSIZE of Linux, which package syscall does not name.
const rlimitFileSize = 1

// LimitFiles sets the size in bytes beyond which the running process cannot extend a file: such writes fail with EFBIG. Only
// the soft limit is set, so that the limit can be removed again.
func (p *Process) LimitFiles(bytes uint64) error {
	var limit syscall.Rlimit
	if err := p.rlimit(nil, &limit); err != nil {
		return err
	}
	limit.Cur = min(bytes, limit.Max)
	return p.rlimit(&limit, nil)
}

func (p *Process) rlimit(set, get *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.cmd.Process.Pid), rlimitFileSize,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(get)), 0, 0)
	if errno != 0 {
		return &ProcessError{p.command.Name, "limit files of", errno}
	}
	return nil
}
