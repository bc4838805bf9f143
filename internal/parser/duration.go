package parser

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON holds as a string such as "1.5s".
type Duration time.Duration

// MarshalText returns d in the format of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns d in the format of time.ParseDuration.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// UnmarshalJSON sets d from a JSON string such as "250ms". It fails for other
// JSON values and for strings that time.ParseDuration does not accept.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q is not a number with a unit such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
