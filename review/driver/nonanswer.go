package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// nonAnswerLasts is how long the clients ask; the server's answers are spoilt as in surplus.go.
const nonAnswerLasts = 3 * (surplusFor + surplusPause)

// playNonAnswer has a server send, in the place of some of its answers, a status without the request's id.
func playNonAnswer(w *world) (bool, error) {
	s := &rawServer{w: w, id: "desk-1", slots: 4 * deskSlots, room: 4 * deskRoom, work: deskWork}
	if w.trouble {
		s.instead = func() bool {
			since := time.Since(w.begun) % (surplusFor + surplusPause)
			return since < surplusFor && rand.IntN(surplusOneIn) == 0
		}
	}
	answers, err := w.playDesk(s, nonAnswerLasts)
	if err != nil {
		return false, err
	}
	denied, ran := 0, 0
	for id, status := range answers {
		if status == http.StatusNotFound {
			denied++
			if s.ran(id) > 0 {
				ran++
			}
		}
	}
	w.note("%d requests, %d answered 404 without a signature though their route and key are there; %d of these have run", len(answers), denied, ran)
	return float64(denied) > 5+float64(len(answers))/500, nil
}
