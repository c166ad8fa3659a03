package access

import "context"

// contextKey is the context key of a *Key.
type contextKey struct{}

// With returns a copy of ctx that carries the key of the caller.
func With(ctx context.Context, key *Key) context.Context {
	return context.WithValue(ctx, contextKey{}, key)
}

// From returns the key that ctx carries, or a nil Key, which allows nothing.
func From(ctx context.Context) *Key {
	key, _ := ctx.Value(contextKey{}).(*Key)
	return key
}
