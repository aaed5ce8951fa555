package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// contextBefore and contextAfter are the time before the start and after the end
	// of a request from which other log lines of its process are shown.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second

	maxLogLineBytes = 1 << 20
)

// explainCommand returns the command that shows from logs how a request was handled.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [LOG-FILE...]",
		Short: "Show why a request ended as it did, from the logs of all entries",
		Long: "Reads logs from the files, or from standard input, and prints the line of the request, its attempts\n" +
			"in order, and what the process that took it learned shortly before and during the request.",
		Example: "  hyssoploom explain 9c41d07be2a35f68 entry-*.log",
		Args:    WithUsageError(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return ExitErrorf(CodeUsage, "%w", err)
			}
			return explain(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

// logLine is one JSON line of a gateway's log.
type logLine struct {
	Time        time.Time       `json:"time"`
	Level       string          `json:"level"`
	Process     string          `json:"process"`
	Message     string          `json:"message"`
	Request     string          `json:"request"`
	Route       string          `json:"route"`
	Workspace   string          `json:"workspace"`
	Outcome     string          `json:"outcome"`
	Status      int             `json:"status"`
	TookMS      int64           `json:"ms"`
	Config      int64           `json:"config"`
	ConfigAgeMS int64           `json:"config_age_ms"`
	Attempts    []loggedAttempt `json:"attempts"`
	// Admission is set if the request waited for room or was refused for lack of it.
	Admission *loggedAdmission `json:"admission"`

	fields map[string]any
}

// loggedAdmission is the log record of the decision on a request while room was short; its
// fields are described in gateway.
type loggedAdmission struct {
	Decision     string  `json:"decision"`
	ExpectedMS   int64   `json:"expected_ms"`
	WaitedMS     int64   `json:"waited_ms"`
	Ahead        int     `json:"ahead"`
	Servers      float64 `json:"servers"`
	Free         float64 `json:"free"`
	Share        float64 `json:"share"`
	Excess       float64 `json:"excess"`
	Priority     int     `json:"priority"`
	Returned     bool    `json:"returned"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// loggedAttempt is the log record of one attempt of a request.
type loggedAttempt struct {
	Server     string `json:"server"`
	Model      string `json:"model"`
	Outcome    string `json:"outcome"`
	Confidence int    `json:"confidence"`
	FirstMS    int64  `json:"first_ms"`
	Events     int    `json:"events"`
	WaitMS     int64  `json:"wait_ms"`
	PrefillMS  int64  `json:"read_ms"`
	AtMS       int64  `json:"at_ms"`
	// Slowness and Room are those of the attempt's log record in gateway.
	Slowness float64 `json:"slowness"`
	Room     string  `json:"room"`
	TookMS   int64   `json:"took_ms"`
	Error    string  `json:"error"`
	// The fields of streams are those of the attempt's log record in gateway.
	ResumedAfter string `json:"resumed_after"`
	FirstEvent   string `json:"first_event"`
	LastEvent    string `json:"last_event"`
	UntilClose   bool   `json:"until_close"`
	Second       bool   `json:"second"`
}

// readLogs reads the log lines of files, or of in if files is empty.
func readLogs(in io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		more, err := readLog(file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// readLog reads the JSON lines of one log and skips all others. Text before the first
// brace of a line, such as the prefix of a log collector, is ignored.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var line logLine
		raw := []byte(text[brace:])
		if json.Unmarshal(raw, &line) != nil || json.Unmarshal(raw, &line.fields) != nil {
			continue // not a line of this program
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// explain prints the attempts and the outcome of a request and the log lines around it.
func explain(out io.Writer, lines []logLine, id string) error {
	found := false
	for i := range lines {
		if lines[i].Request == id && lines[i].Outcome != "" {
			found = true
			printRequest(out, &lines[i])
			printContext(out, lines, &lines[i])
		}
	}
	if !found {
		return ExitErrorf(CodeNotFound, "no log line of request %q: it reached no entry whose log was given, or the entry was killed while it ran", id)
	}
	return nil
}

func printRequest(out io.Writer, l *logLine) {
	started := l.Time.Add(-time.Duration(l.TookMS) * time.Millisecond)
	fmt.Fprintf(out, "%s  %s took request %s on route %s of workspace %s\n", formatTime(started), l.Process, l.Request, orNone(l.Route), orNone(l.Workspace))
	fmt.Fprintf(out, "    configuration %d, proven %d ms before the end\n", l.Config, l.ConfigAgeMS)
	printAdmission(out, l.Admission)
	for n, a := range l.Attempts {
		fmt.Fprintf(out, "    +%d ms  attempt %d on %s", a.AtMS, n+1, a.Server)
		if a.Second && n > 0 {
			fmt.Fprintf(out, ", a second attempt beside attempt %d for %d ms", n, overlap(&l.Attempts[n-1], &a))
		}
		if a.Model != "" {
			fmt.Fprintf(out, " with model %s", a.Model)
		}
		fmt.Fprintf(out, ", expected wait %d ms and reading %d ms", a.WaitMS, a.PrefillMS)
		if a.Slowness > 0 {
			fmt.Fprintf(out, " at %.1f times the usual time", a.Slowness)
		}
		switch a.Room {
		case "last":
			fmt.Fprint(out, ", in room that is kept for large requests")
		case "none":
			fmt.Fprint(out, ", no engine with room in its memory")
		}
		if a.ResumedAfter != "" {
			fmt.Fprintf(out, ", to go on after event %s", a.ResumedAfter)
		}
		fmt.Fprintln(out)
		fmt.Fprintf(out, "    +%d ms  %s", a.AtMS+a.TookMS, a.Outcome)
		if a.FirstMS > 0 {
			fmt.Fprintf(out, ", head after %d ms, %d events", a.FirstMS, a.Events)
		}
		if a.FirstEvent != "" {
			fmt.Fprintf(out, " with ids %s to %s", a.FirstEvent, a.LastEvent)
		}
		if a.UntilClose {
			fmt.Fprint(out, ", ended by its connection")
		}
		if a.Confidence > 0 {
			fmt.Fprintf(out, ", confidence %d", a.Confidence)
		}
		if a.Error != "" {
			fmt.Fprintf(out, ": %s", a.Error)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%s  ended after %d ms: %s, status %d\n", formatTime(l.Time), l.TookMS, l.Outcome, l.Status)
}

// printAdmission prints why a request waited or was refused for lack of room.
func printAdmission(out io.Writer, a *loggedAdmission) {
	if a == nil {
		return
	}
	fmt.Fprintf(out, "    room short: %.1f of %.0f engines or slots free, of which this entry has a share of %.3f; %d requests waited here\n",
		a.Free, a.Servers, a.Share, a.Ahead)
	fmt.Fprintf(out, "    priority %d, the workspace asked for %.1f times its usual, expected wait %d ms", a.Priority, a.Excess, a.ExpectedMS)
	if a.Returned {
		fmt.Fprint(out, ", the client returned when it was told to")
	}
	fmt.Fprintln(out)
	if a.WaitedMS > 0 {
		fmt.Fprintf(out, "    waited %d ms for room\n", a.WaitedMS)
	}
	if a.Decision != "waited" {
		fmt.Fprintf(out, "    refused: %s, the client may return after %d ms\n", a.Decision, a.RetryAfterMS)
	}
}

// overlap returns for how many milliseconds two attempts were in progress at once.
func overlap(a, b *loggedAttempt) int64 {
	return max(min(a.AtMS+a.TookMS, b.AtMS+b.TookMS)-max(a.AtMS, b.AtMS), 0)
}

// printContext prints the other log lines that the process of a request wrote around
// the time of the request, without those of other requests.
func printContext(out io.Writer, lines []logLine, l *logLine) {
	from := l.Time.Add(-time.Duration(l.TookMS)*time.Millisecond - contextBefore)
	until := l.Time.Add(contextAfter)
	printed := false
	for i := range lines {
		other := &lines[i]
		if other.Process != l.Process || other.Outcome != "" || other.Time.Before(from) || other.Time.After(until) {
			continue
		}
		if !printed {
			printed = true
			fmt.Fprintf(out, "What %s learned from %v before to %v after:\n", l.Process, contextBefore, contextAfter)
		}
		fmt.Fprintf(out, "    %s  %s%s\n", formatTime(other.Time), other.Message, otherFields(other.fields))
	}
}

// otherFields formats the fields that are not part of every line, sorted by name.
func otherFields(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		switch name {
		case "time", "level", "process", "message":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return ""
	}
	return " " + strings.Join(parts, " ")
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
