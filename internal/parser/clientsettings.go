package parser

import (
	"fmt"
	"time"
)

const (
	defaultClientTimeout = Duration(20 * time.Second)
	maxClientTimeout     = Duration(time.Hour)
)

// ClientSettings configure the command-line client of the operators.
type ClientSettings struct {
	// LogURL is the URL of the platform's log service.
	LogURL string `json:"log"`
	// Author is recorded with each change, for other operators to read.
	// Default: the name of the user.
	Author string `json:"author,omitempty"`
	// CertFile is the PEM file with the operator's certificate. When it is
	// set, the client connects to nodes over TLS. Default: none.
	CertFile string `json:"cert,omitempty"`
	// KeyFile is the PEM file with the private key of CertFile.
	KeyFile string `json:"key,omitempty"`
	// CAFile is the PEM file with the certificates of the authorities that
	// issue the nodes' certificates.
	CAFile string `json:"authority,omitempty"`
	// Timeout is the maximum duration of a command, at most 1h. Default: 20s.
	Timeout Duration `json:"timeout,omitempty"`
}

// ParseClientSettings decodes the settings of the client, applies override,
// sets defaults and validates all fields. file names the source in errors.
// override may be nil. The error joins one FieldError for each problem.
func ParseClientSettings(file string, data []byte, override func(*ClientSettings)) (c *ClientSettings, err error) {
	c = &ClientSettings{}
	s, err := decode(file, data, c)
	if err != nil {
		return nil, err
	}
	if override != nil {
		override(c)
	}
	if c.Timeout == 0 {
		c.Timeout = defaultClientTimeout
	}
	if problems := c.problems(); len(problems) > 0 {
		return nil, s.errors(problems)
	}
	return c, nil
}

func (c *ClientSettings) problems() (found []problem) {
	if c.LogURL == "" {
		found = append(found, problem{"/log", "a URL is needed: here, by --log or by FLAMINGOTACK_LOG"})
	} else if text := urlProblem(c.LogURL); text != "" {
		found = append(found, problem{"/log", text})
	}
	files := []struct{ field, value string }{{"/cert", c.CertFile}, {"/key", c.KeyFile}, {"/authority", c.CAFile}}
	for _, f := range files {
		if f.value == "" && c.CertFile+c.KeyFile+c.CAFile != "" {
			found = append(found, problem{f.field, "cert, key and authority are needed together"})
		}
	}
	if c.Timeout < 0 || c.Timeout > maxClientTimeout {
		found = append(found, problem{"/timeout", fmt.Sprintf("%s is not between 0 and %s", c.Timeout, maxClientTimeout)})
	}
	return found
}
