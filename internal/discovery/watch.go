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

// watch runs one watch until it ends. If changes may have been missed, it polls the complete list first.
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

// nextChange reads the next value of a watch. A value that can't be used may contain a change that the agent does not
// send again, so the complete list has to be polled after it.
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

// resynchronize polls the complete list. It leaves out invalid entries, so that they do not hold up the others.
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

// isMalformed reports whether an error means that a value can't be decoded, as opposed to an error of the connection.
func isMalformed(err error) bool {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &wrongType) || errors.Is(err, ErrValueTooLong)
}

// readResponse polls the agent and calls read with the JSON values of the response. It ends the response if no input
// arrives for ReadTimeout, or if a value is not complete ReadTimeout after its start. The error wraps ErrUnusableList
// if read fails after a value has begun.
func (c *Client) readResponse(ctx context.Context, query string, read func(*valueReader) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := c.poll(ctx, query)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }() // the body was only read
	readTimer := c.options.AfterFunc(c.options.ReadTimeout, cancel)
	defer readTimer.Stop()
	values := newValueReader(body, readTimer, c.options.ReadTimeout)
	if err = read(values); err != nil && values.inValue {
		return fmt.Errorf("%w: %w", ErrUnusableList, err)
	}
	return err
}

// valueReader reads a stream of JSON values, which may be indented and have blank lines between them. A blank line
// between values, which is the heartbeat of a watch, restarts the read timer. So do the first part of a value and
// endValue. The rest of a value must arrive before the timer fires, as a value that arrives byte by byte would
// otherwise delay the next poll without bound. The size of a value is limited as well.
type valueReader struct {
	source         io.Reader
	decoder        *json.Decoder
	readTimer      Timer // ends the response when it fires
	timeout        time.Duration
	remainingBytes int  // left for the current value and the blank lines before it
	inValue        bool // part of the current value was received
}

// newValueReader returns a reader of the values in source. readTimer ends the response when it fires; the reader
// resets it to timeout.
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

// endValue restarts the limits for the next value. The start of that value may already have been read together with the
// last one.
func (r *valueReader) endValue() {
	r.readTimer.Reset(r.timeout)
	r.remainingBytes = maxValueSize
	buffered, _ := io.ReadAll(r.decoder.Buffered()) // reads from memory, which can't fail
	r.inValue = len(bytes.TrimSpace(buffered)) > 0
}
