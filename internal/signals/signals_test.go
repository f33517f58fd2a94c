package signals

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestInterruptibleReturnsResult(t *testing.T) {
	value, err := Interruptible(context.Background(), func() (int, error) { return 7, nil }, nil)
	require.NoError(t, err)
	require.Equal(t, 7, value)
}

func TestInterruptibleDiscardsLateResult(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	began, finish, discarded := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	go func() {
		<-began
		stop()
	}()
	step := func() (int, error) {
		close(began)
		<-finish
		return 7, nil
	}
	_, err := Interruptible(ctx, step, func(value int) { discarded <- value })
	require.ErrorIs(t, err, context.Canceled)
	close(finish)
	select {
	case value := <-discarded:
		require.Equal(t, 7, value)
	case <-time.After(10 * time.Second):
		t.Fatal("the result of the step was not discarded")
	}
}

func TestInterruptibleSkipsStepAfterCancellation(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err := Interruptible(ctx, func() (int, error) { panic("began") }, nil)
	require.ErrorIs(t, err, context.Canceled)
}
