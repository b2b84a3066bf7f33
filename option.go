package amaranthtide

// Option holds a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value T
	ok    bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, ok: true} }

// None returns an absent Option.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Or returns the value if it is present and def otherwise.
func (o Option[T]) Or(def T) T {
	if !o.ok {
		return def
	}
	return o.value
}
