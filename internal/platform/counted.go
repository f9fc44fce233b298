package platform

import (
	"context"
	"time"

	"comfreycart.dev/comfreycart/internal/metric"
)

// counted is a Store that counts its calls.
type counted struct {
	store  Store
	metric *metric.Set
}

// Counted returns s with a counter for each operation and table, comfreycart_platform_calls_total,
// since the platform's users pay for each call.
func Counted(s Store, m *metric.Set) Store { return &counted{s, m} }

func (c *counted) count(op, table string) {
	c.metric.Counter("comfreycart_platform_calls_total", "op", op, "table", table).Inc()
}

// tableOf returns the name of the table of a key.
func tableOf(key string) string {
	for i := range len(key) {
		if key[i] == '/' {
			return key[:i]
		}
	}
	return ""
}

func (c *counted) Get(ctx context.Context, key string) (Row, error) {
	c.count("get", tableOf(key))
	return c.store.Get(ctx, key)
}

func (c *counted) Scan(ctx context.Context, prefix string) ([]Row, error) {
	c.count("scan", tableOf(prefix))
	return c.store.Scan(ctx, prefix)
}

func (c *counted) Transact(ctx context.Context, tx Tx) (Version, error) {
	table := ""
	if len(tx.Writes) > 0 {
		table = tableOf(tx.Writes[0].Key)
	}
	c.count("transact", table)
	return c.store.Transact(ctx, tx)
}

func (c *counted) Watch(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	c.count("watch", table)
	return c.store.Watch(ctx, table, after, wait)
}

func (c *counted) PutObject(ctx context.Context, name string, data []byte) error {
	c.count("put-object", "")
	return c.store.PutObject(ctx, name, data)
}

func (c *counted) GetObject(ctx context.Context, name string) ([]byte, error) {
	c.count("get-object", "")
	return c.store.GetObject(ctx, name)
}
