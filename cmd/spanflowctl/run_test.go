package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

func TestForwarderConfiguredByFileDeliversRejectsAndStops(t *testing.T) {
	h := startSingle(t)
	h.put("a", "c=status,d=5000,dest=7")
	require.Equal(t, "a", (<-h.endpoint.Calls).ID)
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} })
	h.put("b", "c=status,d=500,dest=7")
	n := <-h.discovery.Notices
	require.Equal(t, []string{"b", "returned"}, []string{n.ID, n.State})
	h.terminate()
}

func TestFolderLockRejectsSecondProcessAndIsFreedByKill(t *testing.T) {
	h := startSingle(t)
	hold := make(chan struct{})
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	h.put("a", "c=ticket,k=1,d=20000,dest=7")
	<-h.endpoint.Calls
	out, code := spanflow("run", "--config", h.configFile, "--set", "fronts.resp.listen=127.0.0.1:0")
	require.Equal(t, 1, code)
	require.Contains(t, out, fmt.Sprintf("belongs to another running process, pid %d", h.process.Pid()))
	out, code = spanflow("check", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, fmt.Sprintf("belongs to a running process, pid %d", h.process.Pid()))
	out, code = spanflow("ledger", "list", "-c", h.configFile, "--json",
		"--dest", "7", "--key", "5", "--type", "ticket", "--state", "out")
	require.Equal(t, 0, code, out)
	var r struct {
		ID, State, Front string
		Transmissions    int
	}
	require.NoError(t, json.Unmarshal([]byte(out), &r), out)
	require.Equal(t, []any{"a", "out", "resp", 1}, []any{r.ID, r.State, r.Front, r.Transmissions})
	for _, none := range [][]string{{"--dest", "8"}, {"--expires-within", "1s"}, {"--expired-for", "1s"}} {
		out, _ = spanflow(append([]string{"ledger", "list", "-c", h.configFile, "--json"}, none...)...)
		require.Empty(t, out, none)
	}
	out, _ = spanflow("ledger", "list", "-c", h.configFile, "--json", "--expires-within", "1m")
	require.Contains(t, out, `"id":"a"`)
	h.kill()
	close(hold)
	h.endpoint.Do(nil)
	out, code = spanflow("ledger", "show", "a", "-c", h.configFile)
	require.True(t, code == 0 && strings.Contains(out, `"hello"`), out)
	out, code = spanflow("ledger", "stat", "-c", h.configFile, "--json")
	require.True(t, code == 0 && strings.Contains(out, `"owed": 1`), out)
	h.start()
	h.awaitLog(`"recovered":1`)
	require.Equal(t, "a", (<-h.endpoint.Calls).ID, "sent again within the deduplication window")
}

func TestReloadAppliesChangeableKeysAndRejectsInvalidFile(t *testing.T) {
	h := startSingle(t)
	other := h.newEndpoint()
	extra := fmt.Sprintf("[[targets]]\nuid = \"t2\"\naddress = %q\ndest = 8\n", other.Addr)
	h.writeConfig(extra + "zone = \"z\"\n")
	h.sendReload()
	h.awaitLog(`targets[1].zone: \"z\" is not one of zones`)
	h.writeConfig(extra + "[limits]\nmemory = \"96MB\"\n[metrics]\ntoken_file = \"other\"\n[log]\nformat = \"console\"\n")
	require.NoError(t, os.WriteFile(filepath.Join(h.folder, "other"), []byte("x"), 0o600))
	h.sendReload()
	h.awaitLog(logReloadedConsole)
	h.awaitLog(`at_next_start=["metrics","limits"]`)
	h.put("a", "c=status,d=5000,dest=8")
	require.Equal(t, "a", (<-other.Calls).ID)
}

func TestMetricsRequireToken(t *testing.T) {
	h := newSingleHarness(t)
	token := filepath.Join(h.folder, "token")
	require.NoError(t, os.WriteFile(token, []byte("hush\n"), 0o600))
	addr := emulator.FreeAddress(t)
	h.start("--set", "metrics.listen="+addr, "--set", "metrics.token_file=token")
	h.put("a", "c=status,d=5000,dest=7")
	<-h.endpoint.Calls
	get := func(bearer string) (int, string) {
		request, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/metrics", nil)
		request.Header.Set("Authorization", bearer)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	code, _ := get("Bearer other")
	require.Equal(t, http.StatusUnauthorized, code)
	require.Eventually(t, func() bool {
		_, text := get("Bearer hush")
		return strings.Contains(text, `spanflow_documents_total{forwarder="n1",front="resp",answer="taken"} 1`) &&
			strings.Contains(text, `spanflow_final_answers_total{forwarder="n1",outcome="delivered"} 1`) &&
			strings.Contains(text, `spanflow_held_documents{forwarder="n1"} 0`) &&
			strings.Contains(text, "spanflow_document_seconds_bucket")
	}, 5*time.Second, 20*time.Millisecond)
	require.NotContains(t, h.process.Log.String(), "hush")
}

// All destinations of the first endpoint list are known when the forwarder starts to serve clients, even if there are
// many.
func TestFirstEndpointListOfManyDestinationsIsReadCompletely(t *testing.T) {
	const destinations = 150
	t.Parallel()
	h := newBacklogHarness(t, destinations).writeConfig("")
	h.start()
	c := h.client()
	for destination := 1; destination <= destinations; destination++ {
		s := submission{typ: "status", destination: destination, key: destination}
		require.Equal(t, "+OK", h.put(c, s), destination)
	}
	h.awaitAnswers(time.Minute)
	h.terminate()
}
