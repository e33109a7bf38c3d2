package proxy

import "testing"

// TestCloseIsLoggedWithItsReason checks that the log gives the reason why a connection was closed or a request was
// rejected. The log line of a closed client connection also names the requests that were open on it.
func TestCloseIsLoggedWithItsReason(t *testing.T) {
	addr, conns := listenEndpoint(t)
	var log *lockedBuffer
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		log = recordLog(h)
	})
	disconnected := h.client()
	disconnected.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	_ = disconnected.Close()
	log.awaitLine(t, "level=INFO", "client connection closed", "connection=1", "reason=peer_closed", "open_requests=[a]")
	_ = b.Close()
	log.awaitLine(t, "level=INFO", "backend connection closed", "endpoint=s0", "reason=peer_closed", "id=a")

	idle := h.client()
	idle.mustPing()
	h.onLoop(h.expireIdleClients)
	log.awaitLine(t, "level=DEBUG", "client connection closed", "connection=2", "reason=idle_timeout")

	rejectEachRequest(h)
	rejected := h.client()
	rejected.send(lookCommand("b")...)
	rejected.readLine()
	log.awaitLine(t, "request completed", "id=b", "reply=BUS", "reason=quota_exceeded")
	if _, err := rejected.Write([]byte("garbage\r\n")); err != nil {
		t.Fatal(err)
	}
	rejected.readLine()
	_ = rejected.Close()
	log.awaitLine(t, "client connection closed", "connection=3", "reason=protocol_error")

	h.onLoop(func() { h.proxy.drain.timedOut = true })
	late := h.client()
	late.send(lookCommand("c")...)
	late.readLine()
	log.awaitLine(t, "request rejected", "id=c", "connection=4", "reason=shutting_down")
}

// TestKindOfNextAttempt checks the kind of the next attempt: a hedged request if another attempt is in flight, and a
// retry if all earlier attempts have ended.
func TestKindOfNextAttempt(t *testing.T) {
	r := &request{}
	if got := nextAttemptKind(r); got != firstAttempt {
		t.Errorf("without earlier attempts: got %s, want first", got)
	}
	r.attempts, r.inFlight = []*attempt{{}}, 1
	if got := nextAttemptKind(r); got != hedge {
		t.Errorf("with an attempt in flight: got %s, want hedge", got)
	}
	if r.inFlight = 0; nextAttemptKind(r) != retry {
		t.Errorf("after an attempt that has ended: got %s, want retry", nextAttemptKind(r))
	}
}
