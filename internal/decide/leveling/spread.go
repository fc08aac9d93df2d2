package leveling

import "time"

// Spread tells how evenly the requests of a pool lie on its endpoints, as far as one daemon
// knows.
type Spread struct {
	// Endpoints counts the endpoints, Idle those without a request and Overrun those with
	// more requests than they run at once.
	Endpoints, Idle, Overrun int
	// Mean and Highest are the mean and the highest number of requests of an endpoint.
	Mean    float64
	Highest int
	// Age is the mean age of what other daemons have told.
	Age time.Duration

	told int
}

// Uneven reports whether an endpoint has more requests than it runs at once while another
// has none.
func (s *Spread) Uneven() bool { return s.Overrun > 0 && s.Idle > 0 }

// Add adds an endpoint that runs up to slots requests at once; 0 means any number.
func (s *Spread) Add(f Figures, slots int) {
	running := f.Own + f.Told
	s.Endpoints++
	s.Mean += (float64(running) - s.Mean) / float64(s.Endpoints)
	if s.told += f.Told; s.told > 0 {
		s.Age += time.Duration(float64(f.Age-s.Age) * float64(f.Told) / float64(s.told))
	}
	s.Highest = max(s.Highest, running)
	if running == 0 {
		s.Idle++
	}
	if slots > 0 && running > slots {
		s.Overrun++
	}
}
