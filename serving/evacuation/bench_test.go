package evacuation

import (
	"fmt"
	"testing"
)

// BenchmarkContains measures the check before a send, without an evacuation and with many. It must not depend on the number of instances or zones.
func BenchmarkContains(b *testing.B) {
	for _, zones := range []int{0, 1, 64} {
		b.Run(fmt.Sprintf("zones-%d", zones), func(b *testing.B) {
			var names []string
			for i := range zones {
				names = append(names, fmt.Sprint("zone-", i))
			}
			var l *List
			if zones > 0 {
				l, _, _ = l.Accept(1, names, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				if l.Contains("zone-x") {
					b.Fatal("not evacuated")
				}
			}
		})
	}
}
