# Sessions are migrated while they play: nodes drain, freeze, flap, vanish without closing their connections and run
# short of bandwidth, and a director freezes. Players can migrate: they buffer one second of live media and four seconds
# of recorded media, and they record every gap.

include = "house.hcl"

day {
  seconds        = 150
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
  moves {}
}

fleet {
  link_kb    = 40000
  link_stray = 0.1
  uplink_kb  = 320000
}

load {
  shortest_s = 20
  longest_s  = 50
  skew       = 0.3
  come_again = 0.9
  pause_ms   = 400
  follow     = 1
}

trouble "drained 1" {
  kind      = "preempt"
  at_s      = 25
  len_s     = 12
  part      = 0.2
  waves     = 2
  notice_ms = 600
}

trouble "frozen 1" {
  kind  = "hang"
  at_s  = 42
  len_s = 5
  part  = 0.15
}
# The links of two nodes slow down until they cannot carry their sessions even at the lowest rungs; then these nodes
# crash.
trouble "short" {
  kind  = "ageing"
  at_s  = 42
  len_s = 50
  on    = [3, 8]
  size  = 60
}

trouble "died" {
  kind  = "crash"
  at_s  = 62
  len_s = 6
  part  = 0.1
}

trouble "one director stands still" {
  kind     = "director_stall"
  at_s     = 70
  len_s    = 6
  part     = 0.34
  stall_ms = 1000
}

trouble "drained 2" {
  kind      = "preempt"
  at_s      = 80
  len_s     = 12
  part      = 0.2
  waves     = 2
  notice_ms = 600
}

trouble "frozen 2" {
  kind  = "hang"
  at_s  = 96
  len_s = 4
  part  = 0.2
}

trouble "vanished" {
  kind  = "vanish"
  at_s  = 106
  len_s = 6
  part  = 0.1
}

trouble "one director is killed" {
  kind  = "director_kill"
  at_s  = 116
  len_s = 1.5
  part  = 0.34
}

trouble "drained while a director is away" {
  kind      = "preempt"
  at_s      = 117
  len_s     = 8
  part      = 0.2
  waves     = 2
  notice_ms = 600
}

trouble "drained in a crowd" {
  kind      = "preempt"
  at_s      = 130
  len_s     = 12
  part      = 0.25
  waves     = 2
  notice_ms = 600
}

trouble "crowd" {
  kind  = "burst"
  at_s  = 129
  len_s = 8
  size  = 3
}
