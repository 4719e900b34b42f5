package configcheck

import "github.com/wasabishunt/wasabishunt/trafficset"

// headerAboveBody compares the limits of header and body. 0 means that a limit is not set.
func (f *findings) headerAboveBody(set *trafficset.Set) {
	if l := set.Limits; l.BodyBytes > 0 && l.HeaderBytes > l.BodyBytes {
		f.add("limits", HeaderAboveBody, "the header limit of %d bytes is above the body limit of %d bytes", l.HeaderBytes, l.BodyBytes)
	}
}
