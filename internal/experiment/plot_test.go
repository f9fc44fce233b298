package experiment

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Only measures in percent are drawn, one file a deployment and measure.
func TestWritePlotsDrawsOnlyPercentages(t *testing.T) {
	dir := t.TempDir()
	rows := []Row{
		{Deployment: "a", Scenario: "one", Measure: "goodput", Values: []string{"10%", "20.5%"}},
		{Deployment: "a", Scenario: "two", Measure: "goodput", Values: []string{"0%", "100%"}},
		{Deployment: "a", Scenario: "one", Measure: "recovery", Values: []string{"never", "0.25s"}},
		{Deployment: "b", Scenario: "one", Measure: "wasted work", Values: []string{"1%", "2%"}},
	}
	require.NoError(t, WritePlots(dir, []Policy{{Name: "old"}, {Name: "now"}}, rows))
	files, err := filepath.Glob(filepath.Join(dir, "*.svg"))
	require.NoError(t, err)
	require.Equal(t, []string{filepath.Join(dir, "a-goodput.svg"), filepath.Join(dir, "b-wasted-work.svg")}, files)
	data, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.Contains(t, string(data), "two")
}
