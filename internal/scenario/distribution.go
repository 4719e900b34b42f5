package scenario

import (
	"encoding/json"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
)

// distribution holds the fields of `wasabishunt -o json watch` that the scenarios read.
type distribution struct {
	Version   uint64 `json:"version"`
	Processes []struct {
		ID         string `json:"id"`
		State      string `json:"state"`
		SetVersion uint64 `json:"set_version"`
		Missing    string `json:"missing"`
	} `json:"processes"`
}

// memberRow holds the fields of one member in `wasabishunt -o json status` that the scenarios read.
type memberRow struct {
	ID   uint64 `json:"id"`
	Role string `json:"role"`
	// Bookings counts the booking records.
	Bookings int64 `json:"bookings"`
}

// operate runs an operators' command and decodes its JSON output, whatever its exit code.
func (s *state) operate(into any, args ...string) error {
	result, err := s.fleet.Operate(s.ctx, fleet.Operator, append([]string{"-o", "json"}, args...)...)
	if err != nil {
		return err
	}
	if err := json.Unmarshal([]byte(result.Stdout), into); err != nil {
		return notMet("%v: %s%s", err, result.Stdout, result.Stderr)
	}
	return nil
}

// checkSetVersion checks that each live process, except the named ones, has the last accepted version.
func (s *state) checkSetVersion(except []string) error {
	var report distribution
	if err := s.operate(&report, "watch"); err != nil {
		return err
	}
	if report.Version < s.version {
		return notMet("control shows version %d, want %d", report.Version, s.version)
	}
	for _, p := range report.Processes {
		if p.State == "live" && p.SetVersion < s.version && !contains(except, p.ID) {
			return notMet("%s has version %d, want %d", p.ID, p.SetVersion, s.version)
		}
	}
	return nil
}

// checkLive checks that the named processes, by default all that watch control, are live.
func (s *state) checkLive(names []string) error {
	if len(names) == 0 {
		names = s.fleet.Watchers()
	}
	return s.checkAllLive(names)
}

// checkAllLive checks that the named processes are registered as live and have the last accepted version.
func (s *state) checkAllLive(names []string) error {
	var report distribution
	if err := s.operate(&report, "watch"); err != nil {
		return err
	}
	upToDate := map[string]bool{}
	for _, p := range report.Processes {
		upToDate[p.ID] = p.State == "live" && p.SetVersion >= s.version && p.Missing == ""
	}
	for _, name := range names {
		if !upToDate[name] {
			return notMet("%s is not live with version %d", name, s.version)
		}
	}
	return nil
}

func (s *state) checkProcessState(name, want string) error {
	var report distribution
	if err := s.operate(&report, "watch"); err != nil {
		return err
	}
	for _, p := range report.Processes {
		if p.ID == name {
			if p.State == want {
				return nil
			}
			return notMet("%s is %s, want %s", name, p.State, want)
		}
	}
	return notMet("%s is not registered", name)
}
