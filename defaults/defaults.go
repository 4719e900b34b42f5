// Package defaults fills unset fields of options.
package defaults

// Set gives a field a value if it has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
