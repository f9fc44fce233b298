package settings

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkHomesBytes gives the size of the owners' object by classes of 128 slots.
func BenchmarkHomesBytes(b *testing.B) {
	for _, classes := range []int{4, 13} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			h := Homes{}
			for c := range classes {
				slots := make([]Home, 128)
				for i := range slots {
					slots[i] = Home{Node: fmt.Sprintf("node-%04d", c*128+i), Incarnation: 1 << 60, SinceVersion: 1 << 20, PreviousSinceVersion: 1 << 19}
				}
				h[fmt.Sprintf("shares/domain-%02d", c)] = slots
			}
			var size int
			for b.Loop() {
				data, err := json.Marshal(h)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
