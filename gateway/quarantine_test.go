package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashOn crashes as many instances as block a part, on separate occasions, with prompts that have some parts.
func (s *crashSystem) crashOn(shared ...string) {
	ticker := time.NewTicker(nextOccasion)
	defer ticker.Stop()
	for range blockingCrashes {
		status, _, err := s.prompt("/once/", shared...)
		require.NoError(s.t, err)
		require.Equal(s.t, 502, status)
		<-ticker.C
	}
}

// Guards against sound prompts that are refused because their document came with a deadly part in each crash, and against a prompt with the deadly part that
// is sent once an answer shows that the document is sound.
func TestDocumentThatCameWithADeadlyPartIsServed(t *testing.T) {
	for name, shared := range map[string][]string{"document first": {"doc", deadlyPart}, "deadly part first": {deadlyPart, "doc"}} {
		t.Run(name, func(t *testing.T) {
			s := newCrashSystem(t, 6, good)
			s.crashOn(shared...)
			for range 3 {
				status, body, err := s.prompt("/once/", "doc")
				require.NoError(t, err)
				require.Equal(t, 200, status, body)
				for _, parts := range [][]string{shared, {deadlyPart}} {
					status, body, err = s.prompt("/once/", parts...)
					require.NoError(t, err)
					require.Equal(t, 503, status)
					require.Contains(t, body, `"quarantined"`)
				}
			}
			require.EqualValues(t, blockingCrashes, s.crashes.Load())
			require.EqualValues(t, 1, s.gateway.metrics.trials.Count())
		})
	}
}

// Guards against more than one prompt at a time that is sent to find out whether its part is deadly, and against a second one after a crash.
func TestDeadlyPartIsTriedOnce(t *testing.T) {
	s := newCrashSystem(t, 6, good)
	s.crashOn("doc", deadlyPart)
	// The second instance crashes on a prompt that may be repeated only if it is sent there.
	status, _, err := s.prompt("/safe/", deadlyPart)
	require.NoError(t, err)
	require.Equal(t, 502, status)
	for range 5 {
		status, _, err = s.prompt("/once/", deadlyPart)
		require.NoError(t, err)
		require.Equal(t, 503, status)
		status, body, err := s.prompt("/once/", "doc")
		require.NoError(t, err)
		require.Equal(t, 200, status, body)
	}
	require.EqualValues(t, blockingCrashes+1, s.crashes.Load())
}

// Guards against a trial that is lost because the instance chosen first refuses connections.
func TestTrialGoesToAnotherInstance(t *testing.T) {
	s := newCrashSystem(t, 6, good)
	s.crashOn("doc", deadlyPart)
	running := 0
	for _, e := range s.engines {
		if conn, err := net.Dial("tcp", e.address); err == nil {
			require.NoError(t, conn.Close())
			if running++; running > 1 {
				e.crash()
			}
		}
	}
	status, body, err := s.prompt("/once/", "doc")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
}
