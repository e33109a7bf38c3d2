package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// watch reads one watch to its end, after the complete list if changes may be missing.
func (c *Client) watch(ctx context.Context) error {
	if c.resync {
		if err := c.resynchronize(ctx); err != nil {
			return fmt.Errorf("complete list: %w", err)
		}
	}
	return c.readResponse(ctx, fmt.Sprintf(watchQuery, c.version), func(values *valueReader) error {
		for {
			list, err := c.nextChange(values)
			if err != nil {
				return err
			}
			values.endValue()
			c.update(list)
		}
	})
}

// nextChange reads the next value of a watch. One that can't be used may have held a change, which no later
// one repeats, so the complete list has to be polled after it.
func (c *Client) nextChange(values *valueReader) (List, error) {
	var list List
	err := values.decode(&list)
	if err != nil && !isMalformed(err) {
		return list, err
	}
	if err == nil {
		err = list.Validate()
	}
	if err == nil && !list.Full && list.Version < c.version {
		err = &VersionError{list.Version, c.version}
	}
	c.resync = c.resync || err != nil
	return list, err
}

// resynchronize polls the complete list. An entry that can't be used is left out: the rest must not wait for it.
func (c *Client) resynchronize(ctx context.Context) error {
	var list List
	err := c.readResponse(ctx, completeListQuery, func(values *valueReader) error { return values.decode(&list) })
	if err != nil {
		return err
	}
	list.Full = true
	list.Endpoints = slices.DeleteFunc(list.Endpoints, func(e Endpoint) bool {
		err := e.Validate()
		if err != nil {
			c.options.Notify(SkippedEndpoint{err})
		}
		return err != nil
	})
	c.resync = false
	c.update(list)
	return nil
}

// isMalformed reports whether an error means that a value came and can't be read, not that the connection has ended.
func isMalformed(err error) bool {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &wrongType) || errors.Is(err, ErrValueTooLong)
}

// readResponse polls the agent and has read take the JSON values of the response. A response that falls silent
// is ended. The error wraps ErrUnusableList if a value had begun to come.
func (c *Client) readResponse(ctx context.Context, query string, read func(*valueReader) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := c.poll(ctx, query)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }() // it was only read
	readTimer := c.options.AfterFunc(c.options.ReadTimeout, cancel)
	defer readTimer.Stop()
	values := newValueReader(body, readTimer, c.options.ReadTimeout)
	if err = read(values); err != nil && values.inValue {
		return fmt.Errorf("%w: %w", ErrUnusableList, err)
	}
	return err
}

// valueReader reads a stream of JSON values, which may be indented and have blank lines between them. Blank lines, the
// heartbeat of a watch, put off the end of a silent response. It bounds what a value may take, in bytes and in time:
// one that trickles in would keep the next change from being polled for.
type valueReader struct {
	source         io.Reader
	decoder        *json.Decoder
	readTimer      Timer // ends the response
	timeout        time.Duration
	remainingBytes int  // bytes that the value may still take
	inValue        bool // a value has begun to come
}

// newValueReader returns a reader of the values of a response, which readTimer ends when its timeout has passed.
func newValueReader(source io.Reader, readTimer Timer, timeout time.Duration) *valueReader {
	r := &valueReader{source: source, readTimer: readTimer, timeout: timeout, remainingBytes: maxValueSize}
	r.decoder = json.NewDecoder(r)
	return r
}

// Read implements io.Reader for the decoder.
func (r *valueReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 && !r.inValue {
		r.readTimer.Reset(r.timeout)
		r.inValue = len(bytes.TrimSpace(p[:n])) > 0
	}
	if r.remainingBytes -= n; r.remainingBytes < 0 {
		return 0, ErrValueTooLong
	}
	return n, err
}

// decode reads the next value.
func (r *valueReader) decode(value any) error { return r.decoder.Decode(value) }

// endValue has the next value begin. The start of it may have been read with the one before.
func (r *valueReader) endValue() {
	r.readTimer.Reset(r.timeout)
	r.remainingBytes = maxValueSize
	buffered, _ := io.ReadAll(r.decoder.Buffered()) // from memory: it can't fail
	r.inValue = len(bytes.TrimSpace(buffered)) > 0
}
