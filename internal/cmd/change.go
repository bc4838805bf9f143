package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/differ"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
)

const (
	baseFlag   = "base"
	dryRunFlag = "dry-run"
	idFlag     = "id"
	noWaitFlag = "no-wait"

	// maxNamedNodes bounds the lagging nodes that a progress line names.
	maxNamedNodes = 5
)

type (
	// changeResult is the JSON output of a command that changes the
	// configuration.
	changeResult struct {
		// ID is the change's ID; empty when nothing was appended.
		ID string `json:"id,omitempty"`
		// BaseVersion is the version that the change is based on.
		BaseVersion uint64 `json:"base"`
		// Version is the version that the change makes.
		Version uint64 `json:"version"`
		// Changed is false when the change leaves the configuration as it was.
		Changed bool `json:"changed"`
		// DryRun says that nothing was appended.
		DryRun bool `json:"dryrun,omitempty"`
		// Key is the new key of a customer; nil for other changes.
		Key *issuedKey `json:"key,omitempty"`
		// Changes are the fields that differ.
		Changes []differ.Change `json:"changes,omitempty"`
		// Nodes is the number of nodes that the version has to reach.
		Nodes int `json:"nodes"`
		// Lagging are the nodes that did not report the version in time.
		Lagging []operator.LaggingNode `json:"late,omitempty"`
	}

	// editFunc returns the record that changes state, and the fields that it
	// changes. Nothing is appended when no field changes.
	editFunc func(state *folder.State) (r folder.Record, changes []differ.Change, err error)
)

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{
			Name:  baseFlag,
			Usage: "make the change only against `VERSION` (default: the current one)",
		},
		&cli.BoolFlag{
			Name:  dryRunFlag,
			Usage: "show what would change without appending it",
		},
		&cli.BoolFlag{
			Name:  noWaitFlag,
			Usage: "do not wait until the change is in force on every node",
		},
	}
}

// changeIDFlag returns the flag that repeats a change whose outcome is unknown.
func changeIDFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  idFlag,
		Usage: "repeat the change `ID` whose outcome is unknown; needs --base",
	}
}

// applyEdit runs a command that changes the configuration. key is the new key that
// the change issues; nil for other changes.
func applyEdit(ctx context.Context, c *cli.Command, e editFunc, key *issuedKey) (err error) {
	if c.String(idFlag) != "" && !c.IsSet(baseFlag) {
		return usageErrorf("--%s needs the --%s of the first try", idFlag, baseFlag)
	}
	s, ctx, cancel, err := openSession(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	s.newKey = key
	v, err := s.loadView(ctx)
	if err != nil {
		return err
	}
	if _, repeated := v.State.FindRecord(c.String(idFlag)); repeated {
		repeat := folder.Record{ID: c.String(idFlag), BaseVersion: c.Uint64(baseFlag)}
		return s.append(ctx, c, repeat, changeResult{BaseVersion: repeat.BaseVersion})
	}
	r, changes, err := e(v.State)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return s.printUnchanged(changeResult{BaseVersion: v.State.ConfigVersion, Version: v.State.ConfigVersion})
	}
	s.setRecordOrigin(c, &r, v)
	s.printChangedFields(changes)
	return s.append(ctx, c, r, changeResult{BaseVersion: r.BaseVersion, Changes: changes})
}

// append appends the record to the log, prints what became of it, and waits until
// it is in force unless a flag says otherwise.
func (s *session) append(ctx context.Context, c *cli.Command, r folder.Record, result changeResult) (err error) {
	if c.Bool(dryRunFlag) {
		s.system = &operator.DryRunSystem{System: s.system}
	}
	appended, err := operator.AppendAndConfirm(ctx, s.system, r)
	if err != nil {
		return s.reportFailure(err, result)
	}
	result.ID, result.Version, result.Changed = appended.ID, appended.Version, appended.Changed
	if c.Bool(dryRunFlag) {
		result.DryRun = true
		return s.printChange("Nothing was appended (dry run).\n", result)
	}
	if !appended.Changed {
		return s.printUnchanged(result)
	}
	if err := s.printKey(); err != nil {
		return err
	}
	result.Key = s.newKey
	accepted := fmt.Sprintf("Version %d is accepted.", result.Version)
	if c.Bool(noWaitFlag) {
		return s.printChange(accepted+"\n", result)
	}
	s.printNote(accepted)
	return s.waitInForce(ctx, result)
}

// printAdvice prints what the operator can do about an error.
func (s *session) printAdvice(err error) {
	var (
		conflict    *operator.ConflictError
		unreachable *operator.LogUnreachableError
	)
	switch {
	case errors.As(err, &conflict):
		s.printNote(fmt.Sprintf("Version %[1]d by %[2]s won. See it with \"flamingotack show --version %[1]d\", then run the command again.",
			conflict.WinnerVersion, conflict.Author))
	case errors.As(err, &unreachable) && unreachable.ID == "":
		s.printNote("The log can't be reached, and nothing was appended. Try again later.")
	case errors.As(err, &unreachable):
		s.printNote("The log can't be reached, and the outcome of the change is unknown. Once the log answers, check it with")
		s.printNote(fmt.Sprintf("  flamingotack show --change %s", unreachable.ID))
		if s.newKey == nil {
			s.printNote(fmt.Sprintf("or run the command again with --id %s --base %d: the change is not made twice.", unreachable.ID, unreachable.BaseVersion))
		}
	}
}

// reportFailure prints what is known after an error, and returns the error. It
// prints a new key when the change that issues it may have been accepted.
func (s *session) reportFailure(err error, result changeResult) error {
	s.printAdvice(err)
	var unreachable *operator.LogUnreachableError
	if s.newKey == nil || !errors.As(err, &unreachable) || unreachable.ID == "" {
		return err
	}
	s.printNote("The new key is worth something only if the change was accepted.")
	if printErr := s.printKey(); printErr != nil {
		return printErr
	}
	result.ID, result.Key = unreachable.ID, s.newKey
	if printErr := s.printChange("", result); printErr != nil {
		return printErr
	}
	return err
}

// printChange prints the outcome of the change. With a new key the text goes to
// standard error, so that standard output holds the key alone, unless the output
// is JSON.
func (s *session) printChange(text string, result changeResult) error {
	if s.newKey != nil && !s.json {
		if text != "" {
			s.printNote(strings.TrimSuffix(text, "\n"))
		}
		return nil
	}
	return s.print(text, result)
}

func (s *session) printUnchanged(result changeResult) error {
	return s.printChange(fmt.Sprintf("Nothing changes: version %d is like that already.\n", result.Version), result)
}

// printKey prints the new key, unless the output is JSON. It is called as soon as
// the change that issues the key may have been accepted.
func (s *session) printKey() (err error) {
	if s.newKey == nil || s.json {
		return nil
	}
	_, err = fmt.Fprintln(s.out, s.newKey.Key)
	return err
}

func (s *session) printChangedFields(changes []differ.Change) {
	if s.json {
		return
	}
	out := s.out
	if s.newKey != nil {
		out = s.errOut
	}
	for _, d := range changes {
		_, _ = fmt.Fprintln(out, d)
	}
}

// setRecordOrigin sets author, base and ID of r as the flags say.
func (s *session) setRecordOrigin(c *cli.Command, r *folder.Record, v *operator.ConfigView) {
	r.Author = s.settings.Author
	r.BaseVersion = v.State.ConfigVersion
	if c.IsSet(baseFlag) {
		r.BaseVersion = c.Uint64(baseFlag)
	}
	if id := c.String(idFlag); id != "" {
		r.ID = id
	}
}

// waitInForce waits until the version of the change is in force on every node or
// the context ends, and prints the result.
func (s *session) waitInForce(ctx context.Context, result changeResult) (err error) {
	v, err := s.loadView(ctx)
	if err != nil {
		return err
	}
	result.Nodes = len(v.State.Members)
	waitErr := operator.WaitUntilInForce(ctx, s.system, v, result.Version, func(p operator.Progress) { s.printNote(progressLine(p)) })
	var lagging *operator.LaggingNodesError
	if errors.As(waitErr, &lagging) {
		result.Lagging = lagging.Nodes
		s.printNote("A node without news of the log refuses keyed requests once its freshness setting has passed.")
	}
	text := ""
	if waitErr == nil {
		text = fmt.Sprintf("Version %d is in force on all %d nodes.\n", result.Version, result.Nodes)
	}
	if err := s.printChange(text, result); err != nil {
		return err
	}
	return waitErr
}

func progressLine(p operator.Progress) string {
	line := fmt.Sprintf("In force on %d of %d nodes", p.ReadyNodes, p.ReadyNodes+len(p.LaggingNodes))
	if len(p.LaggingNodes) == 0 {
		return line + "."
	}
	var names []string
	for _, n := range p.LaggingNodes[:min(maxNamedNodes, len(p.LaggingNodes))] {
		names = append(names, n.String())
	}
	if more := len(p.LaggingNodes) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return line + ", waiting for " + strings.Join(names, ", ")
}
