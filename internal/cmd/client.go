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

// session holds the settings and connections of one command of the client.
type session struct {
	streams
	settings *parser.ClientSettings
	json     bool
	// newKey is the key that the command issues; nil for other commands.
	newKey *issuedKey
	system operator.System
}

func newClientCmd(s streams) *cli.Command {
	return &cli.Command{
		Name:                  "flamingotack",
		Usage:                 "operate an overload control layer for service call graphs",
		Description:           clientDescription,
		EnableShellCompletion: true,
		HideVersion:           true,
		Reader:                s.in,
		Writer:                s.out,
		ErrWriter:             s.errOut,
		Flags:                 clientFlags(),
		Commands: []*cli.Command{
			newBoundCmd(),
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
	fileFlag := func(name, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: envSource(name)}
	}
	return []cli.Flag{
		fileFlag(authorityFlag, "accept nodes with a certificate of an authority in `FILE`"),
		fileFlag(certFlag, "present the certificate in `FILE` to nodes"),
		fileFlag(keyFlag, "use the private key in `FILE`"),
		&cli.StringFlag{
			Name:    authorFlag,
			Usage:   "record `NAME` as the author of changes (default: the user's name)",
			Sources: cli.EnvVars("FLAMINGOTACK_AUTHOR"),
		},
		&cli.BoolFlag{
			Name:  debugFlag,
			Usage: "print each request to the log and the nodes",
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

// openSession returns a session with the settings of the command, and a context
// that ends at their timeout.
func openSession(ctx context.Context, c *cli.Command) (s *session, sessionCtx context.Context, cancel context.CancelFunc, err error) {
	settings, err := readClientSettings(c)
	if err != nil {
		return nil, nil, nil, err
	}
	dial, err := newTLSDial(settings)
	if err != nil {
		return nil, nil, nil, err
	}
	root := c.Root()
	s = &session{
		streams:  streams{in: root.Reader, out: root.Writer, errOut: root.ErrWriter},
		settings: settings,
		json:     c.Bool(jsonFlag),
		system:   operator.NewRealSystem(journaler.NewHTTPLog(settings.LogURL), dial),
	}
	if c.Bool(debugFlag) {
		s.system = &operator.RecordingSystem{System: s.system, Record: s.printNote}
	}
	sessionCtx, cancel = context.WithTimeout(ctx, settings.Timeout.Std())
	return s, sessionCtx, cancel, nil
}

// newTLSDial returns the function that dials nodes over TLS; nil when the settings
// name no certificate.
func newTLSDial(settings *parser.ClientSettings) (dial operator.DialFunc, err error) {
	if settings.CertFile == "" {
		return nil, nil
	}
	files := securer.Files{CertFile: settings.CertFile, KeyFile: settings.KeyFile, CAFile: settings.CAFile}
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

func readClientSettings(c *cli.Command) (settings *parser.ClientSettings, err error) {
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

// readClientFile reads the settings file. An empty name stands for the file in the
// user's configuration directory, which may be missing.
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

// loadView returns the state at the log's tail. It retries while the log answers
// only some of the requests.
func (s *session) loadView(ctx context.Context) (v *operator.ConfigView, err error) {
	v, err = operator.LoadWithRetry(ctx, s.system)
	if isA[*operator.LogUnreachableError](err) {
		s.printNote("The log can't be read now, so nothing is known and nothing was changed. Try again later.")
	}
	return v, err
}

// printNote prints a line to standard error, apart from the result.
func (s *session) printNote(line string) {
	_, _ = fmt.Fprintln(s.errOut, line)
}

// print prints the result: value as JSON when the command asks for it, else text.
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
	s, ctx, cancel, err := openSession(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	v, err := s.loadView(ctx)
	if err != nil {
		return err
	}
	return run(ctx, s, v)
}
