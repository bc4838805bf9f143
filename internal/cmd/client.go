package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/user"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/securer"
)

const (
	authorFlag    = "author"
	authorityFlag = "authority"
	certFlag      = "cert"
	debugFlag     = "debug"
	jsonFlag      = "json"
	keyFlag       = "key"
	logFlag       = "log"
	settingsFlag  = "settings"
	timeoutFlag   = "timeout"

	clientDescription = `Settings come from a flag, else from the environment (FLAMINGOTACK_LOG and so
on), else from the settings file, else from the default.

Exit codes:
  0  done
  1  failed
  2  the command line, a manifest or a settings file is wrong
  3  lost race: another operator's change was accepted first
  4  the log can't be reached: nothing was done, or the outcome is unknown
  5  accepted, but not in force on every node in time`
)

// session is what one command of the client works with.
type session struct {
	streams
	client *parser.ClientSettings
	json   bool
	// key is the new key that the command prints; nil for most commands.
	key    *issuedKey
	system operator.System
}

func newClient(s streams) *cli.Command {
	return &cli.Command{
		Name:                  "flamingotack",
		Usage:                 "operate an overload control layer for service call graphs",
		Description:           clientDescription,
		EnableShellCompletion: true,
		HideVersion:           true,
		Reader:                s.in,
		Writer:                s.out,
		ErrWriter:             s.errors,
		Flags:                 clientFlags(),
		Commands: []*cli.Command{
			newBurnCmd(),
			newDemoCmd(),
			newDomainCmd(),
			newKeyCmd(),
			newLoadCmd(),
			newPublishCmd(),
			newServerCmd(),
			newShowCmd(),
			newStatusCmd(),
			newTraceCmd(),
			newValidateCmd(),
			newVersionCmd(),
		},
	}
}

func clientFlags() []cli.Flag {
	file := func(name, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: environment(name)}
	}
	return []cli.Flag{
		file(authorityFlag, "take nodes with a certificate from those in `FILE`"),
		file(certFlag, "show nodes the certificate in `FILE`"),
		file(keyFlag, "use the private key in `FILE`"),
		&cli.StringFlag{
			Name:    authorFlag,
			Usage:   "put `NAME` on the changes (default: the user's name)",
			Sources: cli.EnvVars("FLAMINGOTACK_AUTHOR"),
		},
		&cli.BoolFlag{
			Name:  debugFlag,
			Usage: "print each question to the log and the nodes",
		},
		&cli.BoolFlag{
			Name:  jsonFlag,
			Usage: "print JSON for programs",
		},
		&cli.StringFlag{
			Name:    logFlag,
			Usage:   "reach the platform's log at `URL`",
			Sources: cli.EnvVars("FLAMINGOTACK_LOG"),
		},
		&cli.StringFlag{
			Name:    settingsFlag,
			Usage:   "read the client's settings from `FILE` (default: flamingotack/client.jsonc in the user's configuration directory)",
			Sources: cli.EnvVars("FLAMINGOTACK_SETTINGS"),
		},
		&cli.DurationFlag{
			Name:        timeoutFlag,
			Usage:       "give up after `DURATION`",
			DefaultText: "20s",
			Sources:     cli.EnvVars("FLAMINGOTACK_TIMEOUT"),
		},
	}
}

// connect returns the session that the settings describe, and a context that
// ends at its timeout.
func connect(ctx context.Context, c *cli.Command) (s *session, bounded context.Context, cancel context.CancelFunc, err error) {
	client, err := clientSettings(c)
	if err != nil {
		return nil, nil, nil, err
	}
	dial, err := dialer(client)
	if err != nil {
		return nil, nil, nil, err
	}
	root := c.Root()
	s = &session{
		streams: streams{in: root.Reader, out: root.Writer, errors: root.ErrWriter},
		client:  client,
		json:    c.Bool(jsonFlag),
		system:  operator.NewRealSystem(journaler.NewHTTPLog(client.LogURL), dial),
	}
	if c.Bool(debugFlag) {
		s.system = &operator.RecordingSystem{System: s.system, Record: s.note}
	}
	bounded, cancel = context.WithTimeout(ctx, client.Timeout.Std())
	return s, bounded, cancel, nil
}

// dialer returns the function that dials nodes over TLS; nil without TLS.
func dialer(client *parser.ClientSettings) (dial operator.DialFunc, err error) {
	if client.CertFile == "" {
		return nil, nil
	}
	files := securer.Files{CertFile: client.CertFile, KeyFile: client.KeyFile, CAFile: client.CAFile}
	s, err := securer.New(files, func(error) {})
	if err != nil {
		return nil, &UsageError{Cause: err}
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return s.ClientHandshake(ctx, conn)
	}, nil
}

func clientSettings(c *cli.Command) (client *parser.ClientSettings, err error) {
	file, data, err := readClientFile(c.String(settingsFlag))
	if err != nil {
		return nil, err
	}
	return parser.ParseClientSettings(file, data, func(p *parser.ClientSettings) {
		for _, f := range []struct {
			name  string
			field *string
		}{
			{authorFlag, &p.Author},
			{authorityFlag, &p.CAFile},
			{certFlag, &p.CertFile},
			{keyFlag, &p.KeyFile},
			{logFlag, &p.LogURL},
		} {
			if text := c.String(f.name); text != "" {
				*f.field = text
			}
		}
		if c.IsSet(timeoutFlag) {
			p.Timeout = parser.Duration(c.Duration(timeoutFlag))
		}
		if p.Author == "" {
			p.Author = userName()
		}
	})
}

// readClientFile reads the settings file. The one at the usual place may be
// missing.
func readClientFile(file string) (name string, data []byte, err error) {
	if file != "" {
		data, err = os.ReadFile(file)
		if err != nil {
			return "", nil, &UsageError{Cause: err}
		}
		return file, data, nil
	}
	directory, err := os.UserConfigDir()
	if err != nil {
		return "client settings", []byte("{}"), nil //nolint:nilerr // Without a home there is no file.
	}
	file = filepath.Join(directory, "flamingotack", "client.jsonc")
	data, err = os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return "client settings", []byte("{}"), nil
	}
	return file, data, err
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// load reads the log, also while it answers only now and then.
func (s *session) load(ctx context.Context) (v *operator.ConfigView, err error) {
	v, err = operator.LoadWithRetry(ctx, s.system)
	if isA[*operator.LogUnreachableError](err) {
		s.note("The log can't be read now, so nothing is known and nothing was changed. Try again later.")
	}
	return v, err
}

// note prints a line for people, apart from the result.
func (s *session) note(line string) {
	_, _ = fmt.Fprintln(s.errors, line)
}

// print prints the result: text for people, value for programs.
func (s *session) print(text string, value any) (err error) {
	if !s.json {
		_, err = fmt.Fprint(s.out, text)
		return err
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// withView runs a command that starts from the state at the log's tail.
func withView(ctx context.Context, c *cli.Command, run func(ctx context.Context, s *session, v *operator.ConfigView) error) (err error) {
	s, ctx, cancel, err := connect(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	v, err := s.load(ctx)
	if err != nil {
		return err
	}
	return run(ctx, s, v)
}
