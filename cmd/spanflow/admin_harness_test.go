package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	readyBound       = 6 * time.Second // for the successor of an upgrade to become ready
	handoverBound    = 4 * time.Second // from SIGTERM to the end of the predecessor
	adminAnswerBound = time.Second     // for an answer of the admin address
	noCallPeriod     = time.Second     // in which a drained endpoint must not get a call
)

// adminProcess is a forwarder with an admin address.
type adminProcess struct {
	*emulator.Process
	admin string
}

// startWithAdmin starts a forwarder with a new admin address. The forwarder inherits the clients' socket unless socket
// is nil.
func (h *harness) startWithAdmin(socket *os.File) *adminProcess {
	h.t.Helper()
	admin := emulator.FreeAddress(h.t)
	command := exec.Command(program)
	command.Env = append(os.Environ(), append(h.environment(), "PROXY_ADMIN="+admin)...)
	if socket != nil {
		command.ExtraFiles = []*os.File{socket}
		command.Env = append(command.Env, "PROXY_INHERITED_FD=3")
	}
	h.process = emulator.StartProcess(h.t, command)
	return &adminProcess{Process: h.process, admin: admin}
}

// inheritedSocket creates a listening socket for forwarders to inherit, as the platform does.
func (h *harness) inheritedSocket() *os.File {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(h.t, err)
	socket, err := listener.(*net.TCPListener).File()
	require.NoError(h.t, err)
	_ = listener.Close()
	h.listen = listener.Addr().String()
	return socket
}

// startSuccessor starts a second process with the inherited socket and the folder of the first one, and returns once
// the second process is ready.
func (h *harness) startSuccessor(socket *os.File) *adminProcess {
	h.t.Helper()
	successor := h.startWithAdmin(socket)
	require.Eventually(h.t, func() bool { return successor.isReady() }, readyBound, 20*time.Millisecond)
	return successor
}

// upgrade starts a successor with the same inherited socket, waits until it is ready and sends SIGTERM to the
// predecessor. It calls meanwhile after the signal and then waits for the predecessor to end.
func (h *harness) upgrade(predecessor *adminProcess, socket *os.File, meanwhile func()) *adminProcess {
	h.t.Helper()
	successor := h.startSuccessor(socket)
	require.NoError(h.t, predecessor.Signal(syscall.SIGTERM))
	meanwhile()
	select {
	case <-predecessor.Ended():
		require.NoError(h.t, predecessor.Wait(), predecessor.Log.String())
	case <-time.After(handoverBound):
		h.t.Fatalf("the predecessor did not end; log:\n%s", predecessor.Log)
	}
	successor.AwaitReady(h.t)
	return successor
}

// requireNoCall requires that the endpoint, which is drained, gets no call within noCallPeriod.
func (h *harness) requireNoCall() {
	h.t.Helper()
	select {
	case call := <-h.endpoint.Calls:
		h.t.Fatalf("%s was sent to a drained endpoint", call.ID)
	case <-time.After(noCallPeriod):
	}
}

// isReady asks the admin address whether the process is ready. A process that does not listen yet is not ready.
func (p *adminProcess) isReady() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + p.admin + "/_ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callAdmin sends one request to an admin address and returns the status and the trimmed body of the answer.
func callAdmin(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	startedAt := time.Now()
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	require.Less(t, time.Since(startedAt), adminAnswerBound, "the answer to %s %s took too long", method, path)
	return response.StatusCode, strings.TrimSpace(string(body))
}

// adminVars returns the counters and gauges that an admin address reports, by name.
func adminVars(t *testing.T, addr string) map[string]string {
	t.Helper()
	code, text := callAdmin(t, addr, http.MethodGet, "/_vars")
	require.Equal(t, http.StatusOK, code, text)
	vars := map[string]string{}
	for line := range strings.SplitSeq(text, "\n") {
		name, value, found := strings.Cut(line, ":")
		require.True(t, found, line)
		vars[name] = value
	}
	return vars
}
