package gauger

import (
	"fmt"
	"strings"
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

type (
	// Figures are the numbers that a backend server reports about itself.
	Figures struct {
		// Running and Waiting are the numbers of requests that run and wait at the server.
		Running, Waiting int
		// Slots is the number of requests that it runs concurrently.
		Slots int
		// WorkPercent is the time that work takes on its instance at this moment, in percent
		// of the usual time; 0 if the server does not report it.
		WorkPercent int
	}

	// FiguresError describes text that does not hold well-formed figures. A faulty server
	// sends such text with each answer, so its message is built only when it is asked for.
	FiguresError struct {
		// Text is the whole text.
		Text string
		// Count is the number of figures that were read, the one at fault included.
		Count int
		// Figure is the figure at fault, and Lowest and Highest bound the accepted ones.
		// Highest is 0 if the number of figures is at fault.
		Figure          string
		Lowest, Highest int
	}
)

// Error returns a message that quotes the beginning of the text.
func (e *FiguresError) Error() string {
	text := quoted(e.Text)
	switch {
	case e.Highest > 0:
		return fmt.Sprintf("figures %s: figure %d is %s, want a decimal number from %d to %d", text, e.Count, quoted(e.Figure), e.Lowest, e.Highest)
	case e.Count > maxFigures:
		return fmt.Sprintf("figures %s: more than %d figures", text, maxFigures)
	default:
		return fmt.Sprintf("figures %s: %d figures, want %d or %d", text, e.Count, minFigures, maxFigures)
	}
}

func quoted(text string) string {
	return fmt.Sprintf("%q", text[:min(len(text), maxQuotedText)])
}

// ParseFigures parses three or four decimal numbers that are separated by commas. It returns
// a *FiguresError for any other text and for numbers out of range.
func ParseFigures(text string) (f Figures, err error) {
	count := 0
	for part := range strings.SplitSeq(text, ",") {
		count++
		if count > maxFigures {
			return Figures{}, &FiguresError{Text: text, Count: count}
		}
		lowest, highest := 0, maxFigure
		destination := &f.WorkPercent
		switch count {
		case 1:
			destination = &f.Running
		case 2:
			destination = &f.Waiting
		case 3:
			destination, lowest = &f.Slots, 1
		default:
			lowest, highest = minWorkPercent, maxWorkPercent
		}
		figure := strings.Trim(part, " \t")
		value, ok := parseFigure(figure)
		if !ok || value < lowest || value > highest {
			return Figures{}, &FiguresError{Text: text, Count: count, Figure: figure, Lowest: lowest, Highest: highest}
		}
		*destination = value
	}
	if count < minFigures {
		return Figures{}, &FiguresError{Text: text, Count: count}
	}
	return f, nil
}

// parseFigure parses a number of 1 to maxDigits decimal digits without a sign.
func parseFigure(text string) (value int, ok bool) {
	if text == "" || len(text) > maxDigits {
		return 0, false
	}
	for _, digit := range []byte(text) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		value = 10*value + int(digit-'0')
	}
	return value, true
}
