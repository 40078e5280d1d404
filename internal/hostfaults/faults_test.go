package hostfaults

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// phases are what a fault does while the daemon runs; nil does nothing.
type phases struct {
	// lift ends the fault while the daemon starts.
	lift func()
	// serving and stopping make it in service and in the grace period.
	serving, stopping func()
}

// fault prepares a daemon that isn't started yet.
type fault func(*process) phases

// play takes a daemon through a fault.
func play(p *process, f fault) {
	do := f(p)
	p.start()
	if do.lift != nil {
		p.await("it logs that it waits", func() bool { return strings.Contains(p.buffer.String(), "waiting for ") })
		do.lift()
	}
	p.awaitServing()
	if do.serving != nil {
		do.serving()
		p.awaitServing()
	}
	p.signal(syscall.SIGTERM)
	if do.stopping != nil {
		do.stopping()
	}
	p.awaitEnd()
}

// playAll plays faults with every daemon.
func playAll(t *testing.T, faults map[string]fault) {
	for name, f := range faults {
		for daemon, make := range daemons {
			t.Run(name+"/"+daemon, func(t *testing.T) {
				t.Parallel()
				play(make(t), f)
			})
		}
	}
}

func TestStreamsEndNoDaemon(t *testing.T) {
	playAll(t, map[string]fault{
		"closed": func(p *process) phases {
			p.shell = "exec <&- >&- 2>&-;"
			return phases{serving: p.provokeLog, stopping: p.provokeLog}
		},
		"reader gone at the start": func(p *process) phases {
			p.pipe().Close()
			return phases{serving: p.provokeLog, stopping: p.provokeLog}
		},
		"reader goes in service": func(p *process) phases {
			r := p.pipe()
			return phases{serving: func() { r.Close(); p.provokeLog() }, stopping: p.provokeLog}
		},
		"reader goes in the grace": func(p *process) phases {
			r := p.pipe()
			return phases{stopping: func() { r.Close(); p.provokeLog() }}
		},
		"reader stuck": func(p *process) phases {
			p.pipe()
			p.fill()
			return phases{serving: p.provokeLog, stopping: p.provokeLog}
		},
		"reader stuck in service": func(p *process) phases {
			p.pipe()
			return phases{serving: func() { p.fill(); p.provokeLog() }, stopping: p.provokeLog}
		},
		"file at its size limit": func(p *process) phases {
			p.logTo(filepath.Join(p.TempDir(), "log"))
			p.shell = "ulimit -f 0;"
			return phases{serving: p.provokeLog, stopping: p.provokeLog}
		},
		"device full": func(p *process) phases {
			p.logTo("/dev/full")
			return phases{serving: p.provokeLog, stopping: p.provokeLog}
		},
	})
}

// provokeLog makes the daemon write lines.
func (p *process) provokeLog() {
	for range 3 {
		p.signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
}

// pipe gives the daemon a pipe as its log and returns the reader's end.
func (p *process) pipe() *os.File {
	r, w, err := os.Pipe()
	if err != nil {
		p.Fatal(err)
	}
	p.out = w
	p.Cleanup(func() { r.Close(); w.Close() })
	return r
}

// fill fills the pipe that nobody reads. The daemon's end of it stays as it is, so that its writes block.
func (p *process) fill() {
	fd, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", p.out.Fd()), unix.O_WRONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		p.Fatal(err)
	}
	defer unix.Close(fd)
	for _, size := range []int{os.Getpagesize(), 1} {
		for err = nil; err == nil; {
			_, err = unix.Write(fd, make([]byte, size))
		}
	}
}

func (p *process) logTo(path string) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		p.Fatal(err)
	}
	p.out = f
	p.Cleanup(func() { f.Close() })
}

func TestSignalsEndNoDaemon(t *testing.T) {
	const storm = 200
	others := []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGXFSZ, syscall.SIGXCPU, syscall.SIGALRM}
	send := func(p *process, signals ...syscall.Signal) func() {
		return func() {
			for range storm {
				for _, s := range signals {
					p.signal(s)
				}
				time.Sleep(time.Millisecond / 10)
			}
		}
	}
	playAll(t, map[string]fault{
		"in service and in the grace": func(p *process) phases {
			return phases{serving: send(p, others...), stopping: send(p, others...)}
		},
		"repeated until the end": func(p *process) phases {
			return phases{stopping: func() {
				for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
					select {
					case <-p.ended:
						return
					default:
						send := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
						for _, s := range send {
							p.signal(s)
						}
					}
				}
			}}
		},
	})
}

// TestHangupsWhileADaemonStartsDontEndIt holds the daemon after the start of the runtime and before its packages are
// initialized, by a trace that nobody reads.
func TestHangupsWhileADaemonStartsDontEndIt(t *testing.T) {
	for name, make := range daemons {
		t.Run(name, func(t *testing.T) {
			p := make(t)
			p.env = append(p.env, "GODEBUG=inittrace=1")
			trace := p.pipe()
			p.fill()
			p.start()
			p.await("SIGHUP has another action", func() bool { return p.handles(syscall.SIGHUP) })
			for range 300 {
				p.signal(syscall.SIGHUP)
				time.Sleep(100 * time.Microsecond)
			}
			p.alive("by SIGHUP")
			go func() { _, _ = io.Copy(io.Discard, trace) }()
			p.awaitServing()
			p.signal(syscall.SIGTERM)
			p.awaitEnd()
		})
	}
}

// handles reports whether the program, once it is loaded, ignores or catches a signal.
func (p *process) handles(s syscall.Signal) bool {
	pid := strconv.Itoa(p.cmd.Process.Pid)
	if exe, err := os.Readlink("/proc/" + pid + "/exe"); err != nil || filepath.Base(exe) != p.program {
		return false
	}
	status, _ := os.ReadFile("/proc/" + pid + "/status")
	var mask uint64
	for line := range strings.Lines(string(status)) {
		if name, value, _ := strings.Cut(line, ":"); name == "SigIgn" || name == "SigCgt" {
			bits, _ := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
			mask |= bits
		}
	}
	return mask>>(s-1)&1 == 1
}

func TestEnvironmentsKeepNoDaemonFromStarting(t *testing.T) {
	playAll(t, map[string]fault{
		"no HOME or TMPDIR": func(p *process) phases { p.shell = "unset HOME TMPDIR;"; return phases{} },
		"odd values": func(p *process) phases {
			p.shell = "HOME=/none TMPDIR=/none TZ=no/where GOMAXPROCS=x; export HOME TMPDIR TZ GOMAXPROCS;"
			return phases{}
		},
		"directory is removed": func(p *process) phases { p.shell = `d=$(mktemp -d); cd "$d"; rmdir "$d";`; return phases{} },
		"low limits":           func(p *process) phases { p.shell = "ulimit -n 64; ulimit -c 0; ulimit -s 256;"; return phases{} },
	})
}
