package shed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
)

func TestTheTightestServiceCountsWithTheMeanOfItsEndpoints(t *testing.T) {
	var l ServiceLevels
	open := call.Feedback{ShareMilli: 1000, Limit: 7}
	require.Equal(t, open, l.Tightest(open))
	l.Record("deep", call.Feedback{Threshold: call.Normal, ShareMilli: 500})
	l.Record("deep", open)
	l.Record("other", open)
	require.InDelta(t, 0.75, l.Tightest(open).Level(), 0.001)
	require.EqualValues(t, 7, l.Tightest(open).Limit, "the rest is the endpoint's own")
	own := call.Feedback{Threshold: call.High, ShareMilli: 1000}
	require.Equal(t, own, l.Tightest(own))
}

func TestLevelsConvertBothWays(t *testing.T) {
	for p := call.Low; p < call.NumPriorities; p++ {
		for share := uint32(0); share <= 1000; share += 250 {
			f := call.Feedback{Threshold: p, ShareMilli: share}
			var back call.Feedback
			back.SetLevel(f.Level())
			require.InDelta(t, f.Level(), back.Level(), 0.001)
		}
	}
}
