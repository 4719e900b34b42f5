package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cutEvents is the number of events of a stream, and cutGap the pause between two of them.
	cutEvents = 40
	cutGap    = 200 * time.Millisecond
	// cutTimeout is the time limit of the streams, that of owner-reply of kiln-slots.
	cutTimeout = 12 * time.Second
)

// streamer is an engine that answers with streams that have neither a length nor chunks and end with their channel.
type streamer struct {
	*engine

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// serve answers requests until the engine ends.
func (e *streamer) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.answer(conn)
	}
}

// answer answers one request with a stream, and closes its channel.
func (e *streamer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	e.record.write("engine %s runs request %s", e.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: mac-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n", id, id)
	if !e.send(conn, head) {
		return
	}
	for n := 1; n <= cutEvents; n++ {
		if !e.send(conn, fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, id, n)) {
			e.record.write("engine %s has sent %d of %d events of request %s", e.id, n-1, cutEvents, id)
			return
		}
		time.Sleep(cutGap)
	}
	e.record.write("engine %s has sent all %d events of request %s", e.id, cutEvents, id)
}

// send writes bytes, unless the engine has ended.
func (e *streamer) send(conn net.Conn, text string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.conns[conn] {
		return false
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// end ends the engine: nothing listens any more, and all channels are closed. It does not end inside an event.
func (e *streamer) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
		delete(e.conns, conn)
	}
}

// runCut sends streams to an engine. With trouble, the engine is emptied and taken away while they run.
func runCut(r *record, binary string, trouble bool) error {
	s, err := startSystem(r, binary)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return err
	}
	e := &streamer{engine: &engine{record: r, service: modelService, id: "i-1", born: time.Now().UnixMilli(), address: s.at(groupEngine, 1, portServer)}, conns: map[net.Conn]bool{}}
	if e.listener, err = net.Listen("tcp", e.address); err != nil {
		return err
	}
	defer e.end()
	go e.serve()
	s.platform.change(func() { s.platform.engines = []*engine{e.engine} })
	client := tenant{name: "alpha"}
	document := desiredState(3, client)
	document["routes"].([]any)[1].(map[string]any)["timeout-ms"] = cutTimeout.Milliseconds()
	if err := s.publish(3, document); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(configApply + time.Second)
	var streams sync.WaitGroup
	events := make([]int, len(s.nodes))
	for i, n := range s.nodes {
		streams.Go(func() { events[i] = s.readStream(n, fmt.Sprintf("stream-%d", i), client) })
	}
	if trouble {
		time.Sleep(time.Second)
		s.platform.change(func() { s.platform.draining = map[string]bool{e.id: true} })
		r.write("the list shows engine %s as draining", e.id)
		time.Sleep(drainTime + time.Second)
		e.end()
		r.write("engine %s has ended", e.id)
	}
	streams.Wait()
	for i, count := range events {
		if count == 0 || !trouble && count < cutEvents {
			return fmt.Errorf("stream-%d has %d of %d events", i, count, cutEvents)
		}
	}
	return nil
}

// readStream sends a request for a stream checks its end, and returns the number of its events.
func (s *system) readStream(n *node, id string, t tenant) int {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/check/a", n.ip, portFront), strings.NewReader("prompt "+id))
	if err != nil {
		s.record.write("request %s: %v", id, err)
		return 0
	}
	request.Host = hostName
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": fmt.Sprint(cutTimeout.Milliseconds()), "X-Api-Key": t.key(), "Model": modelName, "Token-Usage": fmt.Sprintf("700,%d", cutEvents),
		"Prefix-Hash": fmt.Sprintf("%s:600,%x:100", "5c1e07a2", id),
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: cutTimeout + time.Second}).Do(request)
	if err != nil {
		s.record.write("request %s to %s has no answer: %v", id, n.name, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	events := bytes.Count(body, []byte("\n\n"))
	s.record.write("request %s to %s: status %d, %d of %d events, end of the answer: %v", id, n.name, response.StatusCode, events, cutEvents, err)
	if response.StatusCode == http.StatusOK && err == nil && events < cutEvents {
		s.record.breakRule("ORDER: stream %s ends as complete after %d of %d events", id, events, cutEvents)
	}
	return events
}
