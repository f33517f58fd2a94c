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
	readyBound       = 6 * time.Second // a second process is ready beside the first one
	handOverBound    = 4 * time.Second // the first one has ended after SIGTERM
	adminAnswerBound = time.Second     // an answer of the admin address
	noCallWithin     = time.Second     // in which an endpoint that is drained gets no call
)

// adminProcess is a forwarder with an admin address.
type adminProcess struct {
	*emulator.Process
	admin string
}

// startWithAdmin starts a forwarder with an admin address of its own. The clients' socket, if not nil, is handed down.
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

// inheritedSocket makes a listening socket as the platform hands it down.
func (h *harness) inheritedSocket() *os.File {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(h.t, err)
	socket, err := listener.(*net.TCPListener).File()
	require.NoError(h.t, err)
	_ = listener.Close()
	h.listen = listener.Addr().String()
	return socket
}

// startBeside starts a second process on a handed-down socket and the first one's folder, and returns once it is ready.
func (h *harness) startBeside(socket *os.File) *adminProcess {
	h.t.Helper()
	second := h.startWithAdmin(socket)
	require.Eventually(h.t, func() bool { return second.isReady() }, readyBound, 20*time.Millisecond)
	return second
}

// upgrade starts a second process on the same handed-down socket, waits until it is ready and sends the first SIGTERM.
// It calls meanwhile after the signal and then waits for the end of the first.
func (h *harness) upgrade(first *adminProcess, socket *os.File, meanwhile func()) *adminProcess {
	h.t.Helper()
	second := h.startBeside(socket)
	require.NoError(h.t, first.Signal(syscall.SIGTERM))
	meanwhile()
	select {
	case <-first.Ended():
		require.NoError(h.t, first.Wait(), first.Log.String())
	case <-time.After(handOverBound):
		h.t.Fatalf("the first process did not end; log:\n%s", first.Log)
	}
	second.AwaitReady(h.t)
	return second
}

// requireNoCall requires that the endpoint, which is drained, gets no call within a second.
func (h *harness) requireNoCall() {
	h.t.Helper()
	select {
	case call := <-h.endpoint.Calls:
		h.t.Fatalf("%s went to a drained endpoint", call.ID)
	case <-time.After(noCallWithin):
	}
}

// isReady reports whether the process says that it is ready; one that does not listen yet is not.
func (p *adminProcess) isReady() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + p.admin + "/_ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callAdmin makes one call of an admin address and returns its status and text.
func callAdmin(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	began := time.Now()
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	require.Less(t, time.Since(began), adminAnswerBound, "%s %s answered late", method, path)
	return response.StatusCode, strings.TrimSpace(string(body))
}

// adminVars reads the counters and gauges of an admin address, by name.
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
