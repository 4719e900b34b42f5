package placement

import (
	"strconv"
	"strings"
)

// Salt returns the cache namespace, which separates weight versions and isolated accounts.
func (q *Request) Salt(version uint64) string {
	salt := "v" + strconv.FormatUint(version, 10)
	switch {
	case q.Isolated != "":
		salt += "/" + q.Isolated
	case q.SharedCache != "":
		salt += "." + q.SharedCache
	}
	return salt
}

// SaltVersion returns the weight version of a salt.
func SaltVersion(salt string) (uint64, bool) {
	text := strings.TrimPrefix(salt, "v")
	if end := strings.IndexAny(text, "/."); end >= 0 {
		text = text[:end]
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil
}
