// Package defaults sets default values in option structs.
package defaults

// Set assigns value to a field that has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
