// Package validator checks values that come from outside the process, before they become
// durations, limits and addresses.
package validator

import (
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDuration is the longest duration that is accepted. Sums of several stay in the
	// range of a time.Duration.
	MaxDuration = 30 * 24 * time.Hour
	// MaxRate is the highest rate, weight or load that is accepted.
	MaxRate = 1e9
	// minRate is the lowest rate above 0 that is accepted. The time between two requests
	// stays in the range of a time.Duration.
	minRate = 1e-6
	maxPort = 65535
)

// Duration returns a number of units as a duration. It returns an error if the number is
// negative, no number, or more than MaxDuration.
func Duration(value float64, unit time.Duration) (d time.Duration, err error) {
	if math.IsNaN(value) || value < 0 || value > float64(MaxDuration)/float64(unit) {
		return 0, errors.Newf("%v times %s is no duration from 0 to %s", value, unit, MaxDuration)
	}
	return time.Duration(value * float64(unit)), nil
}

// Micros returns a number of microseconds as a duration, clamped to the range from 0 to
// MaxDuration.
func Micros(micros int64) time.Duration {
	return time.Duration(min(max(0, micros), MaxDuration.Microseconds())) * time.Microsecond
}

// Quantity returns an error if a value is negative, no number, or more than maxValue.
func Quantity(value, maxValue float64) error {
	if math.IsNaN(value) || value < 0 || value > maxValue {
		return errors.Newf("%v is not from 0 to %v", value, maxValue)
	}
	return nil
}

// Rate returns an error if a rate per second is neither 0 nor from 1e-6 to MaxRate.
func Rate(perSecond float64) error {
	if perSecond > 0 && perSecond < minRate {
		return errors.Newf("rate %v is neither 0 nor at least %v", perSecond, minRate)
	}
	return Quantity(perSecond, MaxRate)
}

// Address returns an error if a text is not a host and a port from 1 to 65535.
func Address(text string) (err error) {
	defer func() { err = errors.Wrapf(err, "address %q", text) }()
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if host == "" {
		return errors.New("host is missing")
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		return errors.Newf("port is %q, expected a number from 1 to %d", port, maxPort)
	}
	return nil
}
