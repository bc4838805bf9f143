package gauger

import (
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxFigure is the highest number of requests or slots that is accepted.
	maxFigure = 100_000
	// minWorkPercent and maxWorkPercent bound the accepted work figures. Servers under
	// pressure reported 170 to 250.
	minWorkPercent = 10
	maxWorkPercent = 5000
	// minFigures and maxFigures are the numbers of figures of a well-formed text.
	minFigures = 3
	maxFigures = 4
	// maxDigits bounds the digits of a figure.
	maxDigits = 6
	// maxQuotedText bounds the part of a malformed text that an error quotes, in bytes.
	maxQuotedText = 60
)

// Figures are the numbers that a backend server reports about itself.
type Figures struct {
	// Running and Waiting are the numbers of requests that run and wait at the server.
	Running, Waiting int
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// WorkPercent is the time that work takes on its instance at this moment, in percent
	// of the usual time; 0 if the server does not report it.
	WorkPercent int
}

// ParseFigures parses three or four decimal numbers that are separated by commas. It returns
// an error for any other text and for numbers out of range.
func ParseFigures(text string) (f Figures, err error) {
	defer func() {
		if err != nil {
			f, err = Figures{}, errors.Wrapf(err, "figures %q", text[:min(len(text), maxQuotedText)])
		}
	}()
	count := 0
	for part := range strings.SplitSeq(text, ",") {
		if count == maxFigures {
			return f, errors.Newf("more than %d figures", maxFigures)
		}
		lowest, highest := 0, maxFigure
		destination := &f.WorkPercent
		switch count {
		case 0:
			destination = &f.Running
		case 1:
			destination = &f.Waiting
		case 2:
			destination, lowest = &f.Slots, 1
		default:
			lowest, highest = minWorkPercent, maxWorkPercent
		}
		if *destination, err = parseFigure(strings.Trim(part, " \t"), lowest, highest); err != nil {
			return f, err
		}
		count++
	}
	if count < minFigures {
		return f, errors.Newf("%d figures, want %d or %d", count, minFigures, maxFigures)
	}
	return f, nil
}

// parseFigure parses a number of decimal digits without a sign.
func parseFigure(text string, lowest, highest int) (value int, err error) {
	if text == "" || len(text) > maxDigits {
		return 0, errors.Newf("a figure has %d digits, want 1 to %d", len(text), maxDigits)
	}
	for _, digit := range []byte(text) {
		if digit < '0' || digit > '9' {
			return 0, errors.Newf("%q is not a decimal number", text)
		}
		value = 10*value + int(digit-'0')
	}
	if value < lowest || value > highest {
		return 0, errors.Newf("%d is not from %d to %d", value, lowest, highest)
	}
	return value, nil
}
