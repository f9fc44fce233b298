package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A number out of range is refused with its path, before a conversion can overflow.
func TestNumbersHaveARange(t *testing.T) {
	const file = `{"id":"n","deployment":"d","domain":"z","listen":{"caller":"10.0.0.1:1","backend":"10.0.0.1:2","peer":"10.0.0.1:3","metrics":"10.0.0.1:4"},` +
		`"platform":{"url":"http://10.0.0.2:1","timeoutMs":700},"mesh":{"service":"s","backend":"10.0.0.1:5","ready":"10.0.0.1:6","domains":["z"],` +
		`"heartbeatMs":1500,"keyStalenessMs":5000,"stopSeconds":6,"retryRatio":0.2,"retryReserve":50,"memoryMb":284}}`
	_, err := Parse([]byte(file))
	require.NoError(t, err)
	for field, path := range map[string]string{
		`"timeoutMs":700`: "/platform/timeoutMs", `"heartbeatMs":1500`: "/mesh/heartbeatMs", `"keyStalenessMs":5000`: "/mesh/keyStalenessMs",
		`"stopSeconds":6`: "/mesh/stopSeconds", `"retryRatio":0.2`: "/mesh/retryRatio", `"retryReserve":50`: "/mesh/retryReserve",
		`"memoryMb":284`: "/mesh/memoryMb",
	} {
		name, _, _ := strings.Cut(field, ":")
		for _, value := range []string{"9223372036854775807", "-1"} {
			require.True(t, json.Valid([]byte(value)))
			_, err := Parse([]byte(strings.Replace(file, field, name+":"+value, 1)))
			var invalid *Error
			require.ErrorAs(t, err, &invalid, field)
			require.Equal(t, path, invalid.Path)
		}
	}
}
