# Sessions are handed over while they play: nodes drain, stand still, flap, die without a word and run short, a director
# stands still. Players follow: they have a buffer (a second of what is live, four of what is not), and record each gap.

day {
  seconds        = 150
  seed           = 13
  directors      = 3
  media_fraction = 0.01
}

site {
  zones = ["north", "garden", "east"]

  kind "small" { places = 45 }
  kind "large" { places = 60 }

  class "report" {
    paid       = true
    aim_ms     = 1500
    give_up_ms = 4000
    worth      = 2
    seats      = 60
    floor      = 1
  }
  class "room" {
    paid       = false
    aim_ms     = 1000
    give_up_ms = 4000
    worth      = 1
    live       = true
  }

  ladder = [
    { kb = 190, worth = 0.24 },
    { kb = 350, worth = 0.46 },
    { kb = 640, worth = 0.65 },
    { kb = 1160, worth = 0.83 },
    { kb = 2110, worth = 1 },
  ]

  layout {
    cells = 15
    racks = 2
  }
  link {
    kb_per_weight     = 40000
    weights_tell_size = true
    fleet_kb          = 600000
    uplink_kb         = 320000
  }
  notes {
    every_ms = 3000
    late_ms  = 1000
  }
  costs {
    stall    = 7
    switch_s = 0.7
    cross    = 0.01
    probe    = 0.01
  }
  rules {
    drain_within_ms = 250
    answer_slack_ms = 150
    warm_after_ms   = 4000
    start_capacity  = 0.4
    overload_factor = 2
    fall_ms         = 2000
    further {
      free        = 3
      per_request = 0.3
      span_ms     = 10000
    }
  }
  limits {
    max_attempts     = 4
    may_cancel       = true
    may_probe        = true
    max_come_back_ms = 1000
    step_ms          = 20
  }

  moves {}

  title "playroom-1" {
    home   = 0
    spread = 5
  }
  title "playroom-2" {
    home   = 5
    spread = 4
  }
  title "garden" {
    home   = 9
    spread = 4
  }
  title "monday" {
    home   = 2
    spread = 5
  }
  title "tuesday" {
    home   = 7
    spread = 5
  }
  title "summer" {
    home   = 12
    spread = 5
  }
}

fleet {
  nodes        = 15
  link_kb      = 40000
  link_stray   = 0.1
  rate_stray   = 0.15
  uplink_kb    = 320000
  set_up_ms    = 60
  refresh_ms   = 300
  noise        = 0.05
  list_late_ms = 1500
}

load {
  per_s      = 7
  mix        = { report = 0.4, room = 0.6 }
  shortest_s = 20
  longest_s  = 50
  weak       = 0.3
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
# Links that give less and less, at last less than what is there asks at its lowest rungs; then the nodes die.
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
