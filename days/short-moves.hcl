# Hand-overs in short, for the tests: nodes drain, stand still and die, a director is killed in the middle of it. Players
# follow: they have a buffer (a second of what is live, two of what is not), and record each gap.

day {
  seconds        = 18
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
    warm_after_ms   = 2000
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
  per_s      = 8
  mix        = { report = 0.4, room = 0.6 }
  shortest_s = 6
  longest_s  = 14
  weak       = 0.3
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
