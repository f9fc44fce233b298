package platform

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/metric"
)

// unavailableStore fails all calls.
type unavailableStore struct{ Store }

func (unavailableStore) Get(context.Context, string) (Row, error) {
	return Row{}, &Error{Kind: Unavailable, Op: "get row"}
}

func (unavailableStore) Watch(context.Context, string, Version, time.Duration) (Changes, error) {
	return Changes{}, &Error{Kind: Expired, Op: "watch table"}
}

func (unavailableStore) Transact(context.Context, Tx) (Version, error) { return 7, nil }

// Each call counts under its operation and table, failed ones too, since these are paid for as
// well; results are passed on as they are.
func TestCallsAreCountedByOperationAndTable(t *testing.T) {
	m := metric.NewSet()
	s := Counted(unavailableStore{}, m)
	for range 2 {
		_, err := s.Get(t.Context(), "lease/x/a")
		require.True(t, IsKind(err, Unavailable))
	}
	_, err := s.Watch(t.Context(), "op", 1, time.Second)
	require.True(t, IsKind(err, Expired))
	version, err := s.Transact(t.Context(), Tx{Writes: []Write{{Key: "member/x/n1"}}})
	require.NoError(t, err)
	require.EqualValues(t, 7, version)
	var out bytes.Buffer
	m.Write(&out)
	for _, line := range []string{
		`comfreycart_platform_calls_total{op="get",table="lease"} 2`,
		`comfreycart_platform_calls_total{op="watch",table="op"} 1`,
		`comfreycart_platform_calls_total{op="transact",table="member"} 1`,
	} {
		require.Contains(t, out.String(), line)
	}
}
