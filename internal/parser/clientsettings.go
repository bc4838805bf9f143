package parser

import (
	"fmt"
	"time"
)

const (
	defaultTimeout = Duration(20 * time.Second)
	maxTimeout     = Duration(time.Hour)
)

// Client configures the operators' client.
type ClientSettings struct {
	// Log is the URL of the platform's log service.
	LogURL string `json:"log"`
	// Author is put on the changes, for other operators to read. Default:
	// the name of the user.
	Author string `json:"author,omitempty"`
	// Cert is the file with the operator's certificate, PEM. With it nodes
	// are asked over TLS. Default: none.
	CertFile string `json:"cert,omitempty"`
	// Key is the file with the private key of Cert, PEM.
	KeyFile string `json:"key,omitempty"`
	// Authority is the file with the certificates that nodes' must come
	// from, PEM.
	CAFile string `json:"authority,omitempty"`
	// Timeout is how long a command may take, at most 1h. Default: 20s.
	Timeout Duration `json:"timeout,omitempty"`
}

// ParseClient reads the settings of the client, lets override change them,
// fills in defaults and checks them whole. The error joins one FieldError for
// each fault; file only names the source. override may be nil.
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
		c.Timeout = defaultTimeout
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
	if c.Timeout < 0 || c.Timeout > maxTimeout {
		found = append(found, problem{"/timeout", fmt.Sprintf("%s is not between 0 and %s", c.Timeout, maxTimeout)})
	}
	return found
}
