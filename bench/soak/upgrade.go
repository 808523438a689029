package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// upgrade replaces the processes of a fleet by those of another build, one after the other.
type upgrade struct {
	// order is that of the processes, and next the one that is replaced next; back says that the
	// earlier build comes back.
	order    []int
	next     int
	back     bool
	replaced int

	mutex sync.Mutex
	// before and during count callers' requests before the first process is replaced, and from then on.
	before, during answeredCount
	begun          bool
}

// answeredCount counts requests.
type answeredCount struct{ asked, answered int }

// share is the part that was answered, 1 of none.
func (c answeredCount) share() float64 {
	if c.asked == 0 {
		return 1
	}
	return float64(c.answered) / float64(c.asked)
}

// note counts a request that has ended.
func (u *upgrade) note(answered bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	count := &u.before
	if u.begun {
		count = &u.during
	}
	count.asked++
	if answered {
		count.answered++
	}
}

// begin has requests counted as those during the replacements.
func (u *upgrade) begin() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.begun = true
}

// firstBinary is the program with which all processes begin.
func (o *Options) firstBinary() string {
	if o.Production != "" {
		return o.Production
	}
	return o.Binary
}

// beginUpgrade draws the order in which processes are replaced.
func (s *soak) beginUpgrade() {
	if s.options.Production == "" {
		// What a seed draws stays what it was.
		return
	}
	s.upgrade.order = s.random.Perm(len(s.fleet.all()))
	for _, each := range s.fleet.all() {
		s.noteBuild(each)
	}
}

// replaceNext replaces the next process by one of the other build. Once all have been replaced, the
// earlier build comes back in an order of its own.
func (s *soak) replaceNext(ctx context.Context) {
	if s.options.Halt && s.upgrade.next == len(s.upgrade.order)/2 {
		return
	}
	if s.upgrade.next == len(s.upgrade.order) {
		s.upgrade.next, s.upgrade.back = 0, !s.upgrade.back
		s.upgrade.order = s.random.Perm(len(s.upgrade.order))
	}
	replaced := s.fleet.all()[s.upgrade.order[s.upgrade.next]]
	s.upgrade.next++
	s.upgrade.replaced++
	replaced.binary = s.options.Binary
	if s.upgrade.back {
		replaced.binary = s.options.Production
	}
	_, _ = fmt.Fprintf(s.options.Log, "seed %d: replace %s, back %t\n", s.options.Seed, replaced.name, s.upgrade.back)
	s.restart(ctx, replaced, syscall.SIGTERM)
	s.noteBuild(replaced)
}

// replaceAll replaces each process once, after the duration of the soak has passed, with a pause between two in
// which a coordinator comes back and gateways are found to be ready.
func (s *soak) replaceAll(ctx context.Context) {
	pause(ctx, s.options.Duration)
	s.upgrade.begin()
	thaw := func() {}
	if s.options.LateThaw {
		thaw = s.standStill(s.fleet.all()[s.upgrade.order[len(s.upgrade.order)-1]])
	}
	for number := range s.upgrade.order {
		if number == len(s.upgrade.order)-1 {
			thaw()
			// What it believes is as old as the upgrade: it acts on that, among processes that know better.
			pause(ctx, thawedTime)
		}
		s.replaceNext(ctx)
		pause(ctx, settleTime)
	}
}

// thawedTime is for how long a process of the earlier build runs among newer ones after it stood still.
const thawedTime = 4 * time.Second

// standStill stops a process, and returns what has it go on.
func (s *soak) standStill(harmed *process) (thaw func()) {
	_, _ = fmt.Fprintf(s.options.Log, "seed %d: %s stands still until all others are new\n", s.options.Seed, harmed.name)
	ends := s.truth.disturbs(harmed.name, "")
	harmed.signal(syscall.SIGSTOP)
	return func() {
		harmed.signal(syscall.SIGCONT)
		ends()
	}
}

// noteBuild notes whether a process is a gateway of an earlier build, which need not keep the limits that
// replicas name.
func (s *soak) noteBuild(noted *process) {
	if noted.endOlder != nil {
		noted.endOlder()
		noted.endOlder = nil
	}
	if noted.role == "relay" && s.options.Production != "" && noted.binary == s.options.Production {
		noted.endOlder = s.truth.disturbs(noted.name, "")
	}
}

// buildCommit returns the program of a commit of this repository, which it builds below a folder. What
// names a file is a program already.
func buildCommit(ctx context.Context, commit, folder string) (string, error) {
	if _, err := os.Stat(commit); err == nil {
		return commit, nil
	}
	sources := filepath.Join(folder, "production")
	output, err := exec.CommandContext(ctx, "git", "worktree", "add", "--detach", sources, commit).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", commit, err, output)
	}
	defer func() { _ = exec.Command("git", "worktree", "remove", "--force", sources).Run() }()
	binary := filepath.Join(folder, "pierhaven-production")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/pierhaven")
	build.Dir = sources
	if output, err = build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s: %w: %s", commit, err, output)
	}
	return binary, nil
}
