# The bad day in about 20 s, for tests: one director freezes, another is killed, nodes crash, freeze and are preempted,
# and the endpoint list is unreachable at that time.

include = "house.hcl"

day {
  seconds        = 14
  seed           = 5
  directors      = 3
  media_fraction = 0.01
}

site {
  class "report" {
    seats = 12
  }
  class "room" {
    live = true
  }
}

load {
  per_s      = 12
  come_again = 0.9
  pause_ms   = 900
}

trouble "boxes die" {
  kind  = "crash"
  at_s  = 2
  len_s = 4
  part  = 0.15
}

trouble "boxes stand still" {
  kind  = "hang"
  at_s  = 4
  len_s = 5
  part  = 0.3
}

trouble "boxes are taken away" {
  kind      = "preempt"
  at_s      = 7
  len_s     = 6
  part      = 0.25
  waves     = 2
  notice_ms = 800
}

trouble "no list" {
  kind  = "list_out"
  at_s  = 4
  len_s = 3
}

trouble "one director stands still" {
  kind     = "director_stall"
  at_s     = 3
  len_s    = 4
  part     = 0.34
  stall_ms = 1000
}

trouble "one director is killed" {
  kind  = "director_kill"
  at_s  = 8
  len_s = 2
  part  = 0.34
}

trouble "pickup" {
  kind  = "burst"
  at_s  = 9
  len_s = 4
  size  = 2
}
