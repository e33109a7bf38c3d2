package policy

// CustomerMemory is an upper bound on the mean number of bytes that the state of a customer takes, with its
// entries in tables. The usage that other gateways report to the owner of a customer is not included.
const CustomerMemory = 768

// evictionProbes is the number of customers that makeRoom examines for one new customer.
const evictionProbes = 8

// customerQueue holds the customers of a table in the order in which they were last used or examined for
// eviction. It is a doubly linked list, so that moving a customer to its end takes constant time. The zero
// value is empty.
type customerQueue struct{ first, last *customer }

// pushLast adds a customer at the end of the queue.
func (q *customerQueue) pushLast(c *customer) {
	c.previous, c.next = q.last, nil
	if q.last == nil {
		q.first = c
	} else {
		q.last.next = c
	}
	q.last = c
}

// remove removes a customer from the queue.
func (q *customerQueue) remove(c *customer) {
	if c.previous == nil {
		q.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		q.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.previous, c.next = nil, nil
}

// moveToLast moves a customer to the end of the queue.
func (q *customerQueue) moveToLast(c *customer) {
	if q.last == c {
		return
	}
	q.remove(c)
	q.pushLast(c)
}

// makeRoom evicts a customer if the table is full, and reports whether the table has room for another one. It
// examines the evictionProbes customers that were used least recently. Those that cannot be evicted move to
// the end of the queue, so that later calls examine others.
func (t *customerTable) makeRoom() bool {
	if t.limit == 0 || t.count < t.limit {
		return true
	}
	for range evictionProbes {
		c := t.queue.first
		if c.mayBeEvicted(t.clock.now) {
			t.evict(c)
			return true
		}
		t.queue.moveToLast(c)
	}
	return false
}

// evict removes a customer from the table, and its scheduled report, if any.
func (t *customerTable) evict(c *customer) {
	t.removeFromList(c)
	t.count--
	t.queue.remove(c)
	if c.report.scheduled {
		t.reports.unschedule(c)
	}
}

// mayBeEvicted reports whether evicting the customer loses no usage, although it may have been used a moment
// ago: adding it again would give it no unit and no concurrency slot that it does not have now.
func (c *customer) mayBeEvicted(now Seconds) bool {
	if c.hasRequests() || c.report.watched || !c.countMayRestart(now) {
		return false
	}
	if c.isUnused() {
		return true
	}
	if c.ledger != nil && c.ledger.inFlight(now, noGateway) > 0 {
		return false
	}
	return !c.report.scheduled && c.allWindowsFull(now)
}

// countMayRestart reports whether this gateway may count the customer's units from 0 again. An owner that had
// an earlier count would treat the decrease as returned units.
func (c *customer) countMayRestart(now Seconds) bool {
	return c.totalUnits == 0 || !c.report.sent || now-c.report.sentAt > customerExpiry
}

// isUnused reports whether this gateway knows of no usage: it has made no attempt for the customer, no
// gateway has reported usage to it, and it has neither sent a report nor received an owner's reply. All
// requests of the customer were rejected, and the units charged for them refunded.
func (c *customer) isUnused() bool {
	reportedByOthers := c.ledger != nil && len(c.ledger.members) > 0
	return !c.attempted && !reportedByOthers && !c.report.sent && !c.quota.remainingKnown
}
