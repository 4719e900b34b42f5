package bench

import (
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// benchRanks are the ranks of both deployments.
func benchRanks() []objectset.Rank {
	return []objectset.Rank{
		{Name: "urgent", Order: 0, Floor: 0.3, Worth: 4, FirstTokenMs: 720},
		{Name: "day", Order: 1, Floor: 0.2, Worth: 2, FirstTokenMs: 3000},
		{Name: "night", Order: 2, Floor: 0.1, Worth: 0.5, FirstTokenMs: 60000},
	}
}

// DeploymentA is Qasr: advice conversations with pauses, counter answers, reservations, and overnight summaries.
func DeploymentA() *Deployment {
	return &Deployment{
		Name:    "A",
		Ranks:   benchRanks(),
		Engines: map[string]int{"advice": 12, "orders": 3},
		Low:     "warranty summary",
		Urgent:  "counter answer",
		Kinds: []*Kind{
			{Name: "counter answer", Model: "advice", Rank: "urgent", Worth: 4, Deadline: 720 * time.Millisecond, Rate: 8, Night: 0.2, Prompt: 400, Spread: 1000, Output: 60},
			{Name: "reservation", Model: "orders", Rank: "urgent", Worth: 4, Deadline: time.Second, Rate: 6, Night: 0.2, Prompt: 300, Spread: 300, Output: 30},
			{Name: "order status", Model: "orders", Rank: "day", Worth: 1, Deadline: 2 * time.Second, Rate: 8, Night: 0.2, Prompt: 200, Spread: 300, Output: 40},
			{Name: "advice", Model: "advice", Rank: "day", Worth: 2, Deadline: 3 * time.Second, Rate: 3.5, Night: 0.2, Prompt: 5000, Spread: 8000, Output: 180, Turns: 5, Growth: 600, Gap: 45 * time.Second},
			{Name: "warranty summary", Model: "advice", Rank: "night", Worth: 0.5, Deadline: time.Minute, Rate: 1.5, Night: 2, Prompt: 6000, Spread: 10000, Output: 200},
		},
	}
}

// DeploymentB is Saurashtra: slot answers and bookings, and drafted replies with a long shared rulebook.
func DeploymentB() *Deployment {
	return &Deployment{
		Name:    "B",
		Ranks:   benchRanks(),
		Engines: map[string]int{"kiln": 12, "slots": 3},
		Low:     "digest",
		Urgent:  "slot answer",
		Kinds: []*Kind{
			{Name: "slot answer", Model: "kiln", Rank: "urgent", Worth: 4, Deadline: 720 * time.Millisecond, Rate: 8, Night: 0.05, Prompt: 300, Spread: 900, Output: 40},
			{Name: "booking", Model: "slots", Rank: "urgent", Worth: 6, Deadline: time.Second, Rate: 6, Night: 0.05, Prompt: 300, Spread: 300, Output: 30},
			{Name: "drafted reply", Model: "kiln", Rank: "day", Worth: 1.5, Deadline: 4 * time.Second, Rate: 3, Night: 0.05, Prompt: 200, Spread: 600, Output: 120, Rulebook: 24000},
			{Name: "urgent draft", Model: "kiln", Rank: "urgent", Worth: 2, Deadline: 4 * time.Second, Rate: 0.5, Night: 0.05, Prompt: 8000, Spread: 16000, Output: 120, Turns: 3, Growth: 500, Gap: 45 * time.Second},
			{Name: "digest", Model: "kiln", Rank: "night", Worth: 0.5, Deadline: time.Minute, Rate: 1.5, Night: 1, Prompt: 6000, Spread: 10000, Output: 200},
		},
	}
}
