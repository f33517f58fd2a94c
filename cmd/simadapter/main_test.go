package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/transcript"
)

const runAsProgram = "RUN_AS_PROGRAM" // environment variable that makes the test binary run as the program

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestProgramAnswersFrames(t *testing.T) {
	var script transcript.Transcript
	empty := []byte{16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x80, 1, 0xf, 0x41}
	for _, run := range []struct {
		what  string
		input []byte
	}{
		{"no input", nil},
		{"two empty batches", append(empty[:16:16], empty...)},
		{"an empty batch and one that is cut short", append(empty[:16:16], empty[:7]...)},
		{"a length that is out of range", append([]byte{15}, empty[1:]...)},
	} {
		program := exec.Command(os.Args[0])
		program.Env = append(os.Environ(), runAsProgram+"=1")
		program.Stdin = bytes.NewReader(run.input)
		output, err := program.Output()
		var exit *exec.ExitError
		if err != nil {
			require.True(t, errors.As(err, &exit), "%v", err)
		}
		script.Note("%s", run.what)
		script.Bytes("standard input", run.input)
		script.Bytes("standard output", output)
		script.Line("exit status", program.ProcessState.String())
	}
	script.Compare(t, "program.txt")
}
