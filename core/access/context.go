package access

import "context"

// contextKey is the context key of a *Key.
type contextKey struct{}

// NewContext returns a copy of ctx that carries the key of the caller.
func NewContext(ctx context.Context, key *Key) context.Context {
	return context.WithValue(ctx, contextKey{}, key)
}

// FromContext returns the key that ctx carries, or a nil Key, which allows nothing.
func FromContext(ctx context.Context) *Key {
	key, _ := ctx.Value(contextKey{}).(*Key)
	return key
}
