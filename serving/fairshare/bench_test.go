package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures what the path of a request pays during a shortage, with a request each 0.14 ms as in a deployment of 7,000
// requests/s on a single node.
func BenchmarkRequest(b *testing.B) {
	for _, accounts := range []int{24, 10_000} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			l, now := New(), time.Unix(1000, 0)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				l.Admitted(NewKey("s", names[i]), 100*time.Millisecond, now)
				l.Refused(NewKey("s", names[i]), now)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(140 * time.Microsecond)
				i++
				k := NewKey("s", names[i%accounts])
				share := l.Decide(k, time.Second, time.Second, now)
				if share.Factor < 1 {
					l.Refused(k, now)
				} else {
					l.Admitted(k, 10*time.Millisecond, now)
				}
			}
		})
	}
}
