package measure

import (
	"sync"
	"sync/atomic"
)

// OtherCustomer is the label of all customers past the bound.
const OtherCustomer = "other"

// Customers gives customers their labels, so many at most. It is safe for concurrent use.
type Customers struct {
	named sync.Map
	count atomic.Int64
	most  int64
}

// NewCustomers bounds the labels: the first customers that send requests have one of their own,
// the others share OtherCustomer.
func NewCustomers(most int) *Customers { return &Customers{most: int64(most)} }

// Label is a customer's label.
func (c *Customers) Label(customer string) string {
	if _, ok := c.named.Load(customer); ok {
		return customer
	}
	if c.count.Add(1) > c.most {
		c.count.Add(-1)
		return OtherCustomer
	}
	c.named.Store(customer, true)
	return customer
}
