# A hosted service for about 20 s: a quiet tenant and one that sends ten times its share, while nodes crash, freeze and
# are preempted and a director is killed. Each tenant has a share of half of the fleet and of the directors.

include = "house.hcl"

day {
  seconds        = 16
  seed           = 11
  directors      = 3
  media_fraction = 0.01
}

hosted {
  set_ups_per_s = 12
  most_sessions = 100
}

site {
  class "report" {
    seats = 12
  }
  tenant "quiet" {
    share = 1
  }
  tenant "loud" {
    share = 1
  }
}

load {
  per_s      = 40
  tenants    = { quiet = 0.075, loud = 1.5 }
  come_again = 0.9
  pause_ms   = 900
}

trouble "boxes die" {
  kind  = "crash"
  at_s  = 3
  len_s = 4
  part  = 0.15
}

trouble "boxes stand still" {
  kind  = "hang"
  at_s  = 5
  len_s = 4
  part  = 0.2
}

trouble "boxes are taken away" {
  kind      = "preempt"
  at_s      = 8
  len_s     = 6
  part      = 0.2
  waves     = 2
  notice_ms = 800
}

trouble "one director is killed" {
  kind  = "director_kill"
  at_s  = 9
  len_s = 2
  part  = 0.34
}
