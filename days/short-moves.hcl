# Migrations in a short day, for tests: nodes drain, freeze and crash, and a director is killed during migrations.
# Players can migrate: they buffer one second of live media and two seconds of recorded media, and record every gap.

include = "house.hcl"

day {
  seconds        = 18
  seed           = 13
  directors      = 3
  media_fraction = 0.01
}

site {
  kind "small" {
    places = 45
  }
  kind "large" {
    places = 60
  }
  class "report" {
    seats = 60
  }
  class "room" {
    live = true
  }
  link {
    kb_per_weight = 40000
    fleet_kb      = 600000
    uplink_kb     = 320000
  }
  rules {
    warm_after_ms = 2000
  }
  moves {}
}

fleet {
  link_kb    = 40000
  link_stray = 0.1
  uplink_kb  = 320000
}

load {
  per_s      = 8
  shortest_s = 6
  longest_s  = 14
  skew       = 0.3
  come_again = 0.9
  pause_ms   = 400
  follow     = 1
  buffer_ms  = 2000
}

trouble "drained" {
  kind      = "preempt"
  at_s      = 6
  len_s     = 6
  part      = 0.3
  waves     = 2
  notice_ms = 600
}

trouble "stand still" {
  kind  = "hang"
  at_s  = 11
  len_s = 3
  part  = 0.15
}

trouble "one director is killed" {
  kind  = "director_kill"
  at_s  = 13
  len_s = 1
  part  = 0.34
}

trouble "die" {
  kind  = "crash"
  at_s  = 15.5
  len_s = 2
  part  = 0.15
}
