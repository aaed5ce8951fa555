package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hyssoploom/config"
)

const processVarsTimeout = 3 * time.Second

// status is the JSON output of the status command.
type status struct {
	// StoreError is set if the store could not be read. The fields about records are
	// then empty.
	StoreError     string              `json:"store_error,omitempty"`
	StoreRevision  uint64              `json:"store_revision"`
	ConfigRevision uint64              `json:"config_revision"`
	Digest         uint64              `json:"digest"`
	Records        map[config.Kind]int `json:"records"`
	Quarantines    int                 `json:"quarantines"`
	Problems       []config.Problem    `json:"problems"`
	Issues         []config.Issue      `json:"issues"`
	Processes      []processStatus     `json:"processes"`
}

// processStatus describes the configuration that one process uses.
type processStatus struct {
	URL string `json:"url"`
	processVars
	// State is "current", "behind", "ahead", "differs" or "unreachable".
	State string `json:"state"`
	Error string `json:"error,omitempty"`
}

// processVars holds the variables that status reads from the object "hyssoploom" in
// the /debug/vars of a process.
type processVars struct {
	Revision         uint64  `json:"revision"`
	Digest           uint64  `json:"digest"`
	ConfigAgeSeconds float64 `json:"config_age_seconds"`
}

func (g *globalFlags) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of the configuration in the store and in processes",
		Example: "  hyssoploom status --process http://10.0.1.4:8080 --process http://10.0.1.5:8080\n" +
			"  hyssoploom status -o json",
		Args: WithUsageError(cobra.NoArgs),
	}
	output := addOutputFlag(cmd)
	processes := cmd.Flags().StringArray("process", nil, "base URL of a process whose view is compared (repeatable)")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, storeErr := g.readStatus(cmd.Context())
		if CodeOf(storeErr) == CodeUsage {
			return storeErr
		}
		s.Processes = readProcesses(cmd.Context(), *processes)
		s.setProcessStates(storeErr == nil)
		if err := s.print(cmd.OutOrStdout(), *output); err != nil {
			return err
		}
		if storeErr != nil {
			return storeErr
		}
		return s.degradedError()
	}
	return cmd
}

// readStatus reads the records and revisions from the store. If that fails, the
// returned status contains only the error.
func (g *globalFlags) readStatus(ctx context.Context) (status, error) {
	s := status{Records: map[config.Kind]int{}, Problems: []config.Problem{}, Issues: []config.Issue{}}
	store, err := g.store()
	if err != nil {
		return s, err
	}
	snap, revision, err := loadSnapshot(ctx, store)
	if err != nil {
		s.StoreError = err.Error()
		return s, err
	}
	view := snap.View()
	s.StoreRevision, s.ConfigRevision, s.Digest = revision, view.Revision, view.Digest
	s.Records = map[config.Kind]int{config.KindWorkspace: len(view.Workspaces), config.KindModel: len(view.Models),
		config.KindCascade: len(view.Cascades), config.KindDataCentre: len(view.DataCentres),
		config.KindBackendServer: len(view.BackendServers), config.KindService: len(view.Services)}
	s.Quarantines = len(view.Quarantines())
	s.Problems = append(s.Problems, view.Problems...)
	s.Issues = append(s.Issues, config.Validate(view)...)
	return s, nil
}

// readProcesses reads the variables of all processes concurrently.
func readProcesses(ctx context.Context, urls []string) []processStatus {
	out := make([]processStatus, len(urls))
	var wg sync.WaitGroup
	for i, u := range urls {
		wg.Go(func() {
			out[i].URL = u
			vars, err := readVars(ctx, u)
			out[i].processVars = vars
			if err != nil {
				out[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return out
}

func readVars(ctx context.Context, base string) (processVars, error) {
	ctx, cancel := context.WithTimeout(ctx, processVarsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+"/debug/vars", nil)
	if err != nil {
		return processVars{}, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return processVars{}, err
	}
	defer res.Body.Close()
	var body struct {
		Hyssoploom *processVars `json:"hyssoploom"`
	}
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil || body.Hyssoploom == nil {
		return processVars{}, fmt.Errorf("/debug/vars has no object \"hyssoploom\" (HTTP status %d)", res.StatusCode)
	}
	return *body.Hyssoploom, nil
}

// setProcessStates compares each process with the store and sets its State. If the
// store could not be read, the process with the highest revision is the reference.
func (s *status) setProcessStates(storeRead bool) {
	revision, digest := s.ConfigRevision, s.Digest
	if !storeRead {
		for _, p := range s.Processes {
			if p.Error == "" && p.Revision >= revision {
				revision, digest = p.Revision, p.Digest
			}
		}
	}
	for i := range s.Processes {
		p := &s.Processes[i]
		switch {
		case p.Error != "":
			p.State = "unreachable"
		case p.Revision < revision:
			p.State = "behind"
		case p.Revision > revision:
			p.State = "ahead"
		case p.Digest != digest:
			p.State = "differs"
		default:
			p.State = "current"
		}
	}
}

// degradedError returns an error with CodeDegraded if there are problems in records or
// processes that are not current.
func (s *status) degradedError() error {
	notCurrent := 0
	for _, p := range s.Processes {
		if p.State != "current" {
			notCurrent++
		}
	}
	if n := len(s.Problems) + len(s.Issues); n+notCurrent > 0 {
		return ExitErrorf(CodeDegraded, "%d problems in records, %d processes not current", n, notCurrent)
	}
	return nil
}

func (s *status) print(w io.Writer, f outputFormat) error {
	if f == formatJSON {
		return printJSON(w, s)
	}
	if s.StoreError != "" {
		fmt.Fprintf(w, "store: %s\n", s.StoreError)
	} else {
		fmt.Fprintf(w, "store revision %d, configuration revision %d, digest %016x\n", s.StoreRevision, s.ConfigRevision, s.Digest)
		for _, kind := range config.Kinds() {
			fmt.Fprintf(w, "%6d %s\n", s.Records[kind], kind)
		}
		fmt.Fprintf(w, "%6d quarantine\n", s.Quarantines)
	}
	for _, p := range s.Problems {
		fmt.Fprintf(w, "problem: %s at revision %d: %s; in force: %s\n", p.Key, p.Revision, p.Reason, formatInForce(p))
	}
	for _, i := range s.Issues {
		fmt.Fprintf(w, "issue: %v\n", i)
	}
	if len(s.Processes) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PROCESS\tSTATE\tREVISION\tAGE\tERROR")
	for _, p := range s.Processes {
		age := time.Duration(p.ConfigAgeSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", p.URL, p.State, p.Revision, age, cmp.Or(p.Error, "-"))
	}
	return t.Flush()
}

// formatInForce formats the revision of a record that is used instead of one with a
// problem.
func formatInForce(p config.Problem) string {
	if p.InForceRevision == 0 {
		return "nothing"
	}
	return fmt.Sprintf("revision %d", p.InForceRevision)
}
