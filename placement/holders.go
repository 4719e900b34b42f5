package placement

import "slices"

// partHolders finds the states of the instances that are expected to hold a part. Most parts belong to one request alone and are held by one
// instance: these take no slice.
type partHolders struct {
	single  map[uint32]*instanceState
	several map[uint32][]*instanceState
}

func newPartHolders() *partHolders {
	return &partHolders{single: map[uint32]*instanceState{}, several: map[uint32][]*instanceState{}}
}

// add records that an instance that did not hold a part holds it.
func (h *partHolders) add(key uint32, s *instanceState) {
	if list := h.several[key]; list != nil {
		h.several[key] = append(list, s)
		return
	}
	if other := h.single[key]; other != nil {
		delete(h.single, key)
		h.several[key] = []*instanceState{other, s}
		return
	}
	h.single[key] = s
}

// remove records that an instance no longer holds a part.
func (h *partHolders) remove(key uint32, s *instanceState) {
	list := h.several[key]
	if list == nil {
		delete(h.single, key)
		return
	}
	i, last := slices.Index(list, s), len(list)-1
	list[i], list[last] = list[last], nil
	if last == 1 {
		delete(h.several, key)
		h.single[key] = list[0]
		return
	}
	h.several[key] = list[:last]
}

// of calls visit for each holder of a part, in no order.
func (h *partHolders) of(key uint32, visit func(s *instanceState)) {
	if s := h.single[key]; s != nil {
		visit(s)
		return
	}
	for _, s := range h.several[key] {
		visit(s)
	}
}

// count returns the number of holders of a part.
func (h *partHolders) count(key uint32) int {
	if h.single[key] != nil {
		return 1
	}
	return len(h.several[key])
}
